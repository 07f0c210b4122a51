package gossip

import (
	"bytes"
	"cmp"
	"container/heap"
	"encoding/gob"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

const (
	interval     = 120 * time.Millisecond
	latency      = 3 * time.Millisecond
	ownerTimeout = 1100 * time.Millisecond // as the routers apply it
	neighbours   = 9
)

// content is what a router tells of a member, of the size of a router's under load.
type content struct {
	Run
	Address, Centre string
	Age             time.Duration
	Loads           map[string][3]float64
	Version         Version
	Brief           bool
}

type message struct {
	Members []content
	Digest  Digest
	Fresh   Refreshes
}

// record is what a router knows of another.
type record struct {
	content
	seenAt time.Duration
}

// router is one router of a played fleet.
type router struct {
	name    string
	seed    string
	known   map[string]*record // itself included
	sorted  []*record          // known in the order of names, nil if a run was added since
	set     uint64             // hash of their runs
	told    map[string]*Neighbour
	oldKind bool // of a build without digests
}

// fleet plays routers that exchange heartbeats on links that lose some.
type fleet struct {
	rnd     *rand.Rand
	now     time.Duration
	routers map[string]*router
	events  events
	full    bool    // every heartbeat tells everything
	busy    float64 // part of heartbeats in which a router's content changed
	loss    float64

	messages, entries int
	sampled, bytes    int // messages whose size was measured, and their bytes
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

func newFleet(n int, full bool, busy, loss float64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(1, uint64(n))), routers: map[string]*router{}, full: full, busy: busy, loss: loss}
	for i := range n {
		f.start(fmt.Sprintf("frontend-east-%03d", i), "frontend-east-000")
	}
	for _, r := range f.routers { // as after a start
		for name, peer := range f.routers {
			if peer != r {
				own := *peer.known[name]
				r.known[name] = &own
			}
		}
		r.sorted = nil
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.events, event{f.now + d, do}) }

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; len(f.events) > 0 && f.events[0].at <= end; {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

// start starts a router that knows itself and a seed. It replaces one of the same name.
func (f *fleet) start(name, seed string) *router {
	r := &router{name: name, seed: seed, known: map[string]*record{}, told: map[string]*Neighbour{}}
	r.known[name] = &record{content: content{Run: Run{wire.HostID(name), int64(f.now) + 1e18}, Address: "10.0.0.1:7000", Centre: "east-1"}}
	f.routers[name] = r
	f.resume(r)
	return r
}

// resume lets a router send heartbeats until another takes its place.
func (f *fleet) resume(r *router) {
	var tick func()
	tick = func() {
		if f.routers[r.name] != r {
			return
		}
		ring := r.ring()
		self := slices.Index(ring, r.known[r.name])
		to := []string{}
		for d := 1; d < len(ring) && len(to) < neighbours; d *= 2 {
			to = append(to, string(ring[(self+d)%len(ring)].Name))
		}
		if r.known[r.seed] == nil {
			to = append(to, r.seed)
		}
		r.update(f)
		for i, peer := range to {
			delay := time.Duration(0)
			if !f.full { // as calls that tell everything were sent before
				delay = time.Duration(i) * interval / time.Duration(len(to))
			}
			f.after(delay, func() {
				if f.routers[r.name] == r {
					f.call(r, peer)
				}
			})
		}
		f.after(interval, tick)
	}
	f.after(time.Duration(f.rnd.Int64N(int64(interval))), tick)
}

// call plays a heartbeat and its answer. A lost one has no effect on the side that misses it.
func (f *fleet) call(r *router, to string) {
	m := f.compose(r, to, true)
	f.after(latency, func() {
		if peer := f.routers[to]; peer != nil && f.rnd.Float64() >= f.loss {
			f.merge(peer, r, m)
			answer := f.compose(peer, r.name, false)
			f.after(latency, func() {
				if f.rnd.Float64() >= f.loss {
					f.merge(r, peer, answer)
				}
			})
		}
	})
}

// ring returns the records in the order of names.
func (r *router) ring() []*record {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.known), func(a, b *record) int { return cmp.Compare(a.Name, b.Name) })
		runs := make([]Run, len(r.sorted))
		for i, m := range r.sorted {
			runs[i] = m.Run
		}
		r.set = Hash(runs)
	}
	return r.sorted
}

func (r *router) versions() (vs []Version) {
	for _, m := range r.ring() {
		vs = append(vs, m.Version)
	}
	return vs
}

// update gives the router's own content its next version.
func (r *router) update(f *fleet) {
	own := r.known[r.name]
	if !r.oldKind {
		own.Version = own.Version.Next(own.Version.Seq == 0 || f.rnd.Float64() < f.busy)
	}
	own.Loads = map[string][3]float64{"archive": {f.rnd.Float64(), 3}, "school": {0, 7}, "sync": {0, 12}}
}

func (f *fleet) time() time.Time { return time.Unix(1e9, 0).Add(f.now) }

func (f *fleet) compose(r *router, to string, call bool) (m message) {
	if f.full || r.known[r.name].Version.Seq == 0 { // before, each heartbeat told the current state
		r.update(f)
	}
	r.known[r.name].seenAt = f.now
	ring, versions := r.ring(), r.versions()
	n := r.told[to]
	if n == nil {
		n = &Neighbour{}
	}
	if !r.oldKind {
		m.Digest = NewDigest(r.set, versions)
	}
	plan := n.Tell(f.time(), r.set, versions)
	if call {
		plan = plan.Call(slices.Index(ring, r.known[r.name]))
	}
	if f.full || r.oldKind {
		plan = Plan{Full: true}
	}
	if plan.Full {
		for _, k := range ring {
			k.Age = f.now - k.seenAt
			m.Members = append(m.Members, k.content)
		}
	}
	for _, i := range plan.Changed {
		c := ring[i].content
		c.Age = f.now - ring[i].seenAt
		if c.Version.Seq > 0 {
			c.Address, c.Centre, c.Brief = "", "", true
		}
		m.Members = append(m.Members, c)
	}
	m.Fresh.Set = r.set
	for _, i := range plan.Fresh {
		m.Fresh.Add(i, versions[i].Seq, f.now-ring[i].seenAt)
	}
	f.messages++
	f.entries += len(m.Members)
	if f.messages%(2*len(f.routers)+1) == 0 {
		f.sampled++
		f.bytes += gobSize(m)
	}
	return m
}

// gobSize returns the bytes of a message on a connection that knows its types already.
func gobSize(m message) int {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	_ = enc.Encode(message{Members: []content{{Loads: map[string][3]float64{"": {}}}}})
	types := b.Len()
	_ = enc.Encode(m)
	return b.Len() - types
}

func (f *fleet) merge(r, from *router, m message) {
	for _, c := range m.Members {
		old := r.known[string(c.Name)]
		seenAt := f.now - c.Age
		switch {
		case string(c.Name) == r.name, c.Brief && (old == nil || c.Boot != old.Boot):
			continue
		case old == nil:
			old = &record{}
			r.known[string(c.Name)] = old
		case c.Boot < old.Boot:
			continue
		case c.Boot > old.Boot:
		case c.Version.Seq > 0 && old.Version.Seq > 0:
			if c.Version.Seq <= old.Version.Seq {
				continue
			}
		case seenAt <= old.seenAt:
			continue
		}
		if c.Boot != old.Boot {
			r.sorted = nil
		}
		if c.Brief {
			c.Address, c.Centre, c.Brief = old.Address, old.Centre, false
		}
		if r.oldKind { // it drops the fields that it doesn't know
			c.Version = Version{}
		}
		*old = record{c, seenAt}
	}
	if r.oldKind {
		return
	}
	if ring := r.ring(); r.set == m.Fresh.Set && m.Fresh.Check() == nil {
		for i, place := range m.Fresh.Places {
			if k := ring[place]; m.Fresh.Seqs[i] > k.Version.Seq {
				k.Version.Seq, k.seenAt = m.Fresh.Seqs[i], f.now-time.Duration(m.Fresh.Ages[i])*time.Millisecond
			}
		}
	}
	if r.told[from.name] == nil {
		r.told[from.name] = &Neighbour{}
	}
	r.told[from.name].Heard(f.time(), from.known[from.name].Boot, m.Digest)
}

// oldest returns the largest time since any router heard of any other.
func (f *fleet) oldest() (age time.Duration) {
	for _, r := range f.routers {
		for name := range f.routers {
			if name == r.name {
				continue
			}
			if r.known[name] == nil {
				return f.now
			}
			age = max(age, f.now-r.known[name].seenAt)
		}
	}
	return age
}

// spread returns the time until all routers know a change at the given one.
func (f *fleet) spread(name string) time.Duration {
	began := f.now
	want := f.routers[name].known[name].Version.Seq + 1
	behindAny := func() bool {
		for _, r := range f.routers {
			if m := r.known[name]; m == nil || m.Version.Seq < want {
				return true
			}
		}
		return false
	}
	for behindAny() {
		f.run(5 * time.Millisecond)
		f.now += 5 * time.Millisecond
	}
	return f.now - began
}

// outcome is what a played fleet costs, and how soon changes are known.
type outcome struct {
	bytes   int // per router and second
	entries int // per router and second
	known   time.Duration
	oldest  time.Duration
}

func play(n int, full bool, busy, loss float64) (o outcome) {
	f := newFleet(n, full, busy, loss)
	f.run(3 * interval)
	f.messages, f.entries, f.sampled, f.bytes = 0, 0, 0, 0
	rounds, changes := 6, 3
	if n > 100 {
		rounds, changes = 2, 1
	}
	for range rounds {
		f.run(interval)
		o.oldest = max(o.oldest, f.oldest())
	}
	played := (time.Duration(rounds) * interval).Seconds()
	o.bytes = int(float64(f.bytes) / float64(f.sampled) * float64(f.messages) / float64(n) / played)
	o.entries = int(float64(f.entries) / float64(n) / played)
	for i := range changes {
		o.known += f.spread(fmt.Sprintf("frontend-east-%03d", i*n/changes)) / time.Duration(changes)
	}
	return o
}

// TestBytes guards against heartbeats that tell neighbours what they know, against changes that
// spread slower than with heartbeats that tell everything, and against live routers that seem
// lost because nothing is told of them, beside lost heartbeats too.
func TestBytes(t *testing.T) {
	for _, tc := range []struct {
		routers    int
		busy, loss float64
		most       float64 // bytes, of those of full heartbeats
	}{
		{9, 1, 0, 0.5},
		{25, 1, 0.001, 0.25},
		{41, 1, 0.01, 0.25},
		{41, 0.1, 0, 0.1},
		{300, 1, 0.01, 0.1},
		{300, 0.1, 0, 0.1},
	} {
		t.Run(fmt.Sprintf("%d routers, %v busy, %v lost", tc.routers, tc.busy, tc.loss), func(t *testing.T) {
			full, changes := play(tc.routers, true, tc.busy, tc.loss), play(tc.routers, false, tc.busy, tc.loss)
			t.Logf("all: %+v", full)
			t.Logf("changes: %+v", changes)
			assert.Assert(t, float64(changes.bytes) <= tc.most*float64(full.bytes), "%d bytes of %d", changes.bytes, full.bytes)
			assert.Assert(t, changes.known <= full.known+interval, "known after %v instead of %v", changes.known, full.known)
			assert.Assert(t, changes.oldest < ownerTimeout, "a live router was heard of %v ago", changes.oldest)
		})
	}
}

// TestRestart guards against a router that starts again, or that heard nothing for a while, and
// is then told changes only, and against others that go on with what its former run told.
func TestRestart(t *testing.T) {
	const name = "frontend-east-007"
	for _, tc := range []struct {
		name   string
		change func(f *fleet)
	}{
		{"restart", func(f *fleet) { f.start(name, "frontend-east-000") }},
		{"cut off", func(f *fleet) {
			r := f.routers[name]
			delete(f.routers, name) // others' heartbeats to it fail, and it sends none
			f.run(5 * time.Second)
			f.routers[name] = r
			f.resume(r)
		}},
		{"a former build takes its place", func(f *fleet) { f.start(name, "frontend-east-000").oldKind = true }},
		{"half of the fleet is of a former build", func(f *fleet) {
			for i := 1; i < 20; i += 2 {
				f.start(fmt.Sprintf("frontend-east-%03d", i), "frontend-east-000").oldKind = true
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(20, false, 0.3, 0.01)
			f.run(2 * time.Second)
			tc.change(f)
			f.run(time.Second)
			for range 30 {
				f.run(100 * time.Millisecond)
				assert.Assert(t, f.oldest() < ownerTimeout, "a live router was heard of %v ago", f.oldest())
			}
			for _, r := range f.routers {
				for _, m := range r.known {
					assert.Assert(t, m.Address != "", "%s lacks the address of %s", r.name, m.Name)
					assert.Equal(t, m.Boot, f.routers[string(m.Name)].known[string(m.Name)].Boot)
				}
			}
		})
	}
}

// TestTell guards against changes that are left out: beside another run, after silence, with a
// member of unknown version, and where the numbers of a digest repeat.
func TestTell(t *testing.T) {
	start := time.Unix(0, 0)
	known := []Version{{300, 290}, {7, 7}, {0, 0}}
	digest := func(vs ...Version) Digest { return NewDigest(5, vs) }
	for _, tc := range []struct {
		name   string
		heard  Digest
		after  time.Duration
		set    uint64
		reason string
		plan   Plan
	}{
		{"nothing heard", Digest{}, 0, 5, ReasonUnknown, Plan{}},
		{"long silence", digest(known...), digestLifetime + 1, 5, ReasonSilent, Plan{}},
		{"another run", digest(known...), 0, 6, ReasonRuns, Plan{}},
		{"same content", digest(Version{291, 290}, Version{7, 7}, Version{1, 1}), 0, 5, "", Plan{Fresh: []int{0}, Changed: []int{2}}},
		{"changed in between", digest(Version{289, 1}, Version{6, 1}, Version{}), 0, 5, "", Plan{Changed: []int{0, 1, 2}}},
		{"the neighbour knows more", digest(Version{301, 301}, Version{9, 8}, Version{}), 0, 5, "", Plan{Changed: []int{2}}},
		{"the number is past the period", digest(Version{255, 200}, Version{7, 7}, Version{}), 0, 5, "", Plan{Changed: []int{0, 2}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := Neighbour{fullAt: start}
			n.Heard(start, 0, tc.heard)
			plan := n.Tell(start.Add(tc.after), tc.set, known)
			assert.Equal(t, plan.Reason, tc.reason)
			assert.Equal(t, plan.Full, tc.reason != "")
			assert.DeepEqual(t, plan.Changed, tc.plan.Changed)
			assert.DeepEqual(t, plan.Fresh, tc.plan.Fresh)
		})
	}
	t.Run("everything once in a while", func(t *testing.T) {
		n := Neighbour{fullAt: start}
		n.Heard(start.Add(fullInterval), 0, digest(known...))
		assert.Equal(t, n.Tell(start.Add(fullInterval), 5, known).Reason, ReasonPeriodic)
		assert.Equal(t, n.Tell(start.Add(fullInterval), 5, known).Reason, "")
	})
}
