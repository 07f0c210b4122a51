// Package crash keeps track of requests that crash upstreams. Suspects run in isolation
// and are quarantined if they crash an upstream there. It does no I/O and starts no
// goroutine.
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
	// markLifetime is the time until a mark expires. It is the same for all states,
	// so that the later expiry identifies the later event without a shared clock and
	// a cleared mark outlives the suspect mark that it replaces.
	markLifetime = 10 * time.Minute
	// defaultLimit, in marks, replaces a limit that is not positive.
	defaultLimit = 1024
)

// Fingerprint returns the fingerprint of a request: the hash of its team followed by
// the hash of team, pipeline and body, 16 hexadecimal digits each. Callers can craft
// bodies that collide under xxhash but can't choose their team's name, so the team
// hash limits such collisions to the caller's own team.
func Fingerprint(team wire.TeamID, pipeline wire.PipelineID, body []byte) wire.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(team))
	sum := d.Sum(make([]byte, 0, 16))
	_, _ = d.WriteString(string(pipeline))
	_, _ = d.Write([]byte{0}) // names contain no zero byte, so it separates the name from the body
	_, _ = d.Write(body)
	return wire.Fingerprint(hex.EncodeToString(d.Sum(sum)))
}

// Registry holds the marks of a router: the requests that are suspected of crashing
// upstreams, quarantined or cleared. It is safe for concurrent use. Create it with
// NewRegistry.
type Registry struct {
	mu    sync.RWMutex
	limit int
	marks map[wire.Fingerprint]mark
	// claims holds the deadlines of isolated runs in progress.
	claims map[wire.Fingerprint]time.Time
}

// mark is the state of a fingerprint and its expiry.
type mark struct {
	team     wire.TeamID
	pipeline wire.PipelineID
	state    wire.MarkState
	expires  time.Time
}

// NewRegistry returns a registry of at most limit marks, or 1,024 if limit is not
// positive. At the limit it evicts expired marks, or else the oldest cleared mark, or
// else the oldest suspect. Quarantines are kept until they expire; if all marks are
// quarantines, a new mark is not recorded.
func NewRegistry(limit int) *Registry {
	if limit <= 0 {
		limit = defaultLimit
	}
	return &Registry{limit: limit, marks: make(map[wire.Fingerprint]mark), claims: make(map[wire.Fingerprint]time.Time)}
}

// State returns the current state of p, or "" if p has no mark or an expired one.
func (r *Registry) State(now time.Time, p wire.Fingerprint) wire.MarkState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state(now, p)
}

// RecordCrash records that an upstream crashed while it ran p, and returns the new
// state of p. If isolated is true, p ran alone, so it is quarantined for 10 minutes;
// otherwise it becomes a suspect unless it is already quarantined.
func (r *Registry) RecordCrash(now time.Time, p wire.Fingerprint, team wire.TeamID, pipeline wire.PipelineID, isolated bool) wire.MarkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := mark{team, pipeline, wire.MarkStateSuspect, now.Add(markLifetime)}
	if isolated {
		m.state = wire.MarkStateQuarantined
	}
	if isolated || r.state(now, p) != wire.MarkStateQuarantined {
		r.put(now, p, m)
	}
	return r.state(now, p)
}

// RecordSurvival records that p completed in isolation, which clears a suspect. It has
// no effect if p is not a suspect.
func (r *Registry) RecordSurvival(now time.Time, p wire.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state(now, p) != wire.MarkStateSuspect {
		return
	}
	m := r.marks[p]
	m.state = wire.MarkStateCleared
	m.expires = now.Add(markLifetime)
	r.marks[p] = m
}

// Claim reports whether p may start an isolated run now, and refuses further claims on
// p until the given deadline or Release. Without claims, copies of one request that
// run in isolation at the same time would each crash an upstream before the first of
// them is quarantined. Claim returns false if p is quarantined or if the limit of
// claims is reached.
func (r *Registry) Claim(now time.Time, p wire.Fingerprint, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claims[p].After(now) || r.state(now, p) == wire.MarkStateQuarantined {
		return false
	}
	if len(r.claims) >= r.limit {
		maps.DeleteFunc(r.claims, func(_ wire.Fingerprint, t time.Time) bool { return !t.After(now) })
	}
	if len(r.claims) >= r.limit {
		return false
	}
	r.claims[p] = deadline
	return true
}

// Release ends the claim on p with the given deadline. It has no effect on a later claim.
func (r *Registry) Release(p wire.Fingerprint, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claims[p].Equal(deadline) {
		delete(r.claims, p)
	}
}

// Marks returns the unexpired marks for gossip: quarantines first, then suspects, then
// cleared marks, the latest first in each state. Callers with a size limit send the
// first ones.
func (r *Registry) Marks(now time.Time) []wire.Mark {
	r.mu.RLock()
	defer r.mu.RUnlock()
	marks := make([]wire.Mark, 0, len(r.marks))
	for p, m := range r.marks {
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

// Merge adds marks from another router. For each fingerprint a quarantine wins, then
// the later expiry, then the more severe state, so that the order and repetition of
// messages don't matter. Marks with an unknown state or no time left are ignored,
// and marks are kept for at most 10 minutes.
func (r *Registry) Merge(now time.Time, marks []wire.Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range marks {
		if w.Left <= 0 || severity(w.State) == 0 {
			continue
		}
		left := min(w.Left, wire.Millis(markLifetime/time.Millisecond))
		m := mark{w.Team, w.Pipeline, w.State, now.Add(time.Duration(left) * time.Millisecond)}
		old, ok := r.marks[w.Print]
		if !ok || !old.expires.After(now) || old.supersededBy(m) {
			r.put(now, w.Print, m)
		}
	}
}

// state returns the current state of p. The caller must hold r.mu.
func (r *Registry) state(now time.Time, p wire.Fingerprint) wire.MarkState {
	if m, ok := r.marks[p]; ok && m.expires.After(now) {
		return m.state
	}
	return ""
}

// put records m. At the limit it first evicts marks as described at NewRegistry.
func (r *Registry) put(now time.Time, p wire.Fingerprint, m mark) {
	if _, ok := r.marks[p]; !ok && len(r.marks) >= r.limit && !r.evict(now) {
		return
	}
	r.marks[p] = m
}

// evict removes the expired marks or, if there are none, the lowest mark by outranks
// that is not a quarantine. It reports whether it removed any.
func (r *Registry) evict(now time.Time) bool {
	var victim wire.Fingerprint
	found, expired := false, false
	for p, m := range r.marks {
		if !m.expires.After(now) {
			delete(r.marks, p)
			expired = true
			continue
		}
		if m.state == wire.MarkStateQuarantined {
			continue
		}
		if !found || r.marks[victim].outranks(m) {
			victim, found = p, true
		}
	}
	if !expired && found {
		delete(r.marks, victim)
	}
	return expired || found
}

// severity returns the rank of a state, higher for a more severe state and 0 for an
// unknown one.
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

// supersededBy reports whether o replaces m as the mark of the same fingerprint. The
// order is total, so that all routers agree on the mark to keep.
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

// outranks reports whether o is evicted before m at the limit.
func (m mark) outranks(o mark) bool {
	return cmp.Or(cmp.Compare(severity(m.state), severity(o.state)), m.expires.Compare(o.expires)) > 0
}
