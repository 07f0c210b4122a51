// Package crash remembers which requests crash upstreams, so that they run in
// isolation and then not at all. It does no I/O and starts no goroutine.
package crash

import (
	"cmp"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

const (
	// markLifetime is the time until a mark expires. It is the same for all states:
	// then the later expiry shows the later event without a shared clock, and a
	// cleared mark outlives the suspect mark that it replaces.
	markLifetime = 10 * time.Minute
	// defaultLimit applies where a bound is not positive.
	defaultLimit = 1024
)

// Fingerprint returns the fingerprint of a request: the hash of its team followed by
// the hash of team, pipeline and body, 16 hexadecimal digits each. A caller can
// craft bodies that collide under xxhash; the part for the team, whose name
// callers don't choose, keeps such a collision within the caller's own team.
func Fingerprint(team wire.TeamID, pipeline wire.PipelineID, body []byte) wire.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(team))
	sum := d.Sum(make([]byte, 0, 16))
	_, _ = d.WriteString(string(pipeline))
	_, _ = d.Write([]byte{0}) // names contain no zero byte, so the name can't run into the body
	_, _ = d.Write(body)
	return wire.Fingerprint(hex.EncodeToString(d.Sum(sum)))
}

// Registry holds the marks of one router. It is safe for concurrent use. Create it
// with NewRegistry.
type Registry struct {
	mu    sync.RWMutex
	limit int
	marks map[wire.Fingerprint]mark
	// claims holds the deadlines of isolated runs under way.
	claims map[wire.Fingerprint]time.Time
}

type mark struct {
	team     wire.TeamID
	pipeline wire.PipelineID
	state    wire.MarkState
	expires  time.Time
}

// NewRegistry returns a book of at most bound marks, or 1,024 if bound is not
// positive. At the bound it drops the oldest cleared mark, or else the oldest
// suspect. Quarantines are kept until they expire; if all marks are
// quarantines, a new mark is not recorded.
func NewRegistry(bound int) *Registry {
	if bound <= 0 {
		bound = defaultLimit
	}
	return &Registry{limit: bound, marks: make(map[wire.Fingerprint]mark), claims: make(map[wire.Fingerprint]time.Time)}
}

// State returns the state in force, or "" for an unknown fingerprint.
func (b *Registry) State(now time.Time, p wire.Fingerprint) wire.MarkState {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.state(now, p)
}

// RecordCrash records that an upstream died while it ran p, and returns the state in
// force. With solo nothing else was running there, so p is quarantined for 10
// minutes; otherwise it is a suspect, unless it is quarantined already.
func (b *Registry) RecordCrash(now time.Time, p wire.Fingerprint, team wire.TeamID, pl wire.PipelineID, solo bool) wire.MarkState {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := mark{team, pl, wire.MarkStateSuspect, now.Add(markLifetime)}
	if solo {
		m.state = wire.MarkStateQuarantined
	}
	if solo || b.state(now, p) != wire.MarkStateQuarantined {
		b.put(now, p, m)
	}
	return b.state(now, p)
}

// RecordSurvival records that p completed alone, which clears a suspect. It changes
// nothing for other fingerprints.
func (b *Registry) RecordSurvival(now time.Time, p wire.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state(now, p) != wire.MarkStateSuspect {
		return
	}
	m := b.marks[p]
	m.state = wire.MarkStateCleared
	m.expires = now.Add(markLifetime)
	b.marks[p] = m
}

// Claim reports whether p may start to run alone now, and until its deadline
// refuses further claims on it. Copies of one request that ran alone at the same
// time would each crash an upstream before the first of them is quarantined.
// At the bound of claims the answer is false.
func (b *Registry) Claim(now time.Time, p wire.Fingerprint, until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.claims[p].After(now) || b.state(now, p) == wire.MarkStateQuarantined {
		return false
	}
	if len(b.claims) >= b.limit {
		maps.DeleteFunc(b.claims, func(_ wire.Fingerprint, t time.Time) bool { return !t.After(now) })
	}
	if len(b.claims) >= b.limit {
		return false
	}
	b.claims[p] = until
	return true
}

// Release ends the claim that was made with the same deadline, and no later one.
func (b *Registry) Release(p wire.Fingerprint, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.claims[p].Equal(until) {
		delete(b.claims, p)
	}
}

// Marks returns the marks in force for gossip: quarantines first, then suspects,
// then cleared ones, the latest first in each state. A caller that has room for
// fewer sends the first ones.
func (b *Registry) Marks(now time.Time) []wire.Mark {
	b.mu.RLock()
	defer b.mu.RUnlock()
	marks := make([]wire.Mark, 0, len(b.marks))
	for p, m := range b.marks {
		left := m.expires.Sub(now).Milliseconds()
		if left <= 0 {
			continue
		}
		marks = append(marks, wire.Mark{Print: p, Team: m.team, Pipeline: m.pipeline, State: m.state, Left: wire.Millis(left)})
	}
	slices.SortFunc(marks, func(a, b wire.Mark) int {
		return cmp.Or(cmp.Compare(severity(b.State), severity(a.State)), cmp.Compare(b.Left, a.Left), cmp.Compare(a.Print, b.Print))
	})
	return marks
}

// Merge takes over marks of another router. For each fingerprint a quarantine
// wins, then the later expiry, then the more severe state, so that the order
// and repetition of messages don't matter. Marks of an unknown state or without
// time left are ignored, and no mark is kept for longer than 10 minutes.
func (b *Registry) Merge(now time.Time, ms []wire.Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range ms {
		if w.Left <= 0 || severity(w.State) == 0 {
			continue
		}
		left := min(w.Left, wire.Millis(markLifetime/time.Millisecond))
		m := mark{w.Team, w.Pipeline, w.State, now.Add(time.Duration(left) * time.Millisecond)}
		old, ok := b.marks[w.Print]
		if !ok || !old.expires.After(now) || old.supersededBy(m) {
			b.put(now, w.Print, m)
		}
	}
}

func (b *Registry) state(now time.Time, p wire.Fingerprint) wire.MarkState {
	if m, ok := b.marks[p]; ok && m.expires.After(now) {
		return m.state
	}
	return ""
}

// put records m, and at the bound makes room as NewRegistry says.
func (b *Registry) put(now time.Time, p wire.Fingerprint, m mark) {
	if _, ok := b.marks[p]; !ok && len(b.marks) >= b.limit && !b.evict(now) {
		return
	}
	b.marks[p] = m
}

// evict drops the expired marks or, if there are none, the least one. It reports
// whether it dropped any.
func (b *Registry) evict(now time.Time) bool {
	var least wire.Fingerprint
	found, expired := false, false
	for p, m := range b.marks {
		if !m.expires.After(now) {
			delete(b.marks, p)
			expired = true
			continue
		}
		if m.state == wire.MarkStateQuarantined {
			continue
		}
		if !found || b.marks[least].outranks(m) {
			least, found = p, true
		}
	}
	if !expired && found {
		delete(b.marks, least)
	}
	return expired || found
}

// severity orders states; it is 0 for an unknown state.
func severity(s wire.MarkState) int {
	switch s {
	case wire.MarkStateQuarantined:
		return 3
	case wire.MarkStateSuspect:
		return 2
	case wire.MarkStateCleared:
		return 1
	}
	return 0
}

// supersededBy reports whether o replaces m as the mark of the same fingerprint.
func (m mark) supersededBy(o mark) bool {
	if q, oq := m.state == wire.MarkStateQuarantined, o.state == wire.MarkStateQuarantined; q != oq {
		return oq
	}
	return cmp.Or(
		m.expires.Compare(o.expires),
		cmp.Compare(severity(m.state), severity(o.state)),
		cmp.Compare(m.team, o.team),
		cmp.Compare(m.pipeline, o.pipeline),
	) < 0
}

// outranks reports whether m is kept rather than o at the bound.
func (m mark) outranks(o mark) bool {
	return cmp.Or(cmp.Compare(severity(m.state), severity(o.state)), m.expires.Compare(o.expires)) > 0
}
