// Package share holds waiting work and decides whose turn it is: teams share by
// cost over weight, interactive work goes first and batch work keeps a minimum.
// It does no I/O and starts no goroutine.
package share

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	// batchPart is the part of the cost served, as 1/batchPart, that waiting
	// batch work gets while interactive work waits too.
	batchPart = 10
	// defaultTotal and defaultBound apply where a bound is not positive.
	defaultTotal wire.Slots = 1024
	defaultBound wire.Slots = 64
	// maxTeams bounds the teams remembered; it is far above 800 so that a busy
	// team isn't forgotten while its charges are still due.
	maxTeams = 4096
	// maxCost bounds one cost, as wire.Cost does, so that a wrong figure can't
	// make the sums lose precision.
	maxCost = 1 << 40
	// maxCredit bounds what one class may owe the other.
	maxCredit = maxCost * batchPart
)

// Entry is one waiting request.
type Entry[T any] struct {
	Team   wire.TeamID
	Weight int // share of the team relative to the others, at least 1
	Rank   wire.Rank
	Cost   int64      // estimate, at least 1
	Latest time.Time  // last useful start; zero for none
	Bound  wire.Slots // of the team's entries in the queue; 64 if not positive
	Value  T
}

// Queue is a bounded start-time fair queue. Each class (interactive, batch) is
// a fair queue of its own. It is safe for concurrent use. Create it with New.
type Queue[T any] struct {
	mu     sync.Mutex
	total  wire.Slots
	teams  map[wire.TeamID]*team[T]
	class  [2]class[T]
	timed  timedHeap[T] // all entries by Latest
	serial uint64
	// credit is the cost that waiting batch work may be served before the
	// next interactive entry, in 1/(batchPart-1) of a cost unit.
	credit int64
}

const (
	interactive = iota
	batch
)

func classOf(r wire.Rank) int {
	if r == wire.RankBatch {
		return batch
	}
	return interactive
}

// class is the fair queue of one class.
type class[T any] struct {
	flows flowHeap[T]
	// now is the virtual time: the highest start tag served.
	now float64
	// period counts the times that the class was found empty. Tags of an
	// earlier period are void: capacity was left over, so nobody owes anything.
	period uint64
}

// team is the state of one team in both classes.
type team[T any] struct {
	id     wire.TeamID
	len    wire.Slots
	served int64 // cost, estimates replaced by actual cost as it is charged
	last   int   // class of the entry served last
	flows  [2]flow[T]
}

// flow is the FIFO of one team in one class.
type flow[T any] struct {
	team       *team[T]
	class      int
	len        wire.Slots
	head, tail *item[T]
	tag        float64 // start tag of the head, or of the next entry
	period     uint64
	weight     int
	pos        int // in class.flows, -1 when there is none
}

type item[T any] struct {
	Entry[T]
	flow       *flow[T]
	prev, next *item[T]
	serial     uint64
	pos        int // in Queue.timed
}

// New returns a queue for at most total entries, or 1,024 if total is not positive.
func New[T any](total wire.Slots) *Queue[T] {
	if total <= 0 {
		total = defaultTotal
	}
	return &Queue[T]{total: total, teams: make(map[wire.TeamID]*team[T])}
}

// Push adds e. When the queue or the team's part of it is full, ok is false and
// reason is ReasonQueue; when its last useful start has passed, ReasonDeadline.
func (q *Queue[T]) Push(now time.Time, e Entry[T]) (reason wire.Reason, ok bool) {
	if late(e.Latest, now) {
		return wire.ReasonDeadline, false
	}
	e.Weight = max(e.Weight, 1)
	e.Cost = min(max(e.Cost, 1), maxCost)
	if e.Bound <= 0 {
		e.Bound = defaultBound
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.teams[e.Team]
	if q.len() >= q.total || t != nil && t.len >= e.Bound {
		return wire.ReasonQueue, false
	}
	if t == nil {
		t = q.addTeam(e.Team)
	}
	q.serial++
	it := &item[T]{Entry: e, flow: &t.flows[classOf(e.Rank)], serial: q.serial}
	q.append(it)
	return "", true
}

// Pop removes the entry whose turn it is. late holds the entries that can no
// longer start in time; they are removed as well, also when ok is false.
func (q *Queue[T]) Pop(now time.Time) (e Entry[T], late []Entry[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	late = q.expire(now)
	for i := range q.class {
		q.class[i].rest()
	}
	i, ok := q.turn()
	if !ok {
		return e, late, false
	}
	c := &q.class[i]
	f := c.flows[0]
	it := f.head
	q.count(i, it.Cost)
	c.now = max(c.now, f.tag)
	f.tag += float64(it.Cost) / float64(it.Weight)
	f.weight = it.Weight
	f.team.last = i
	f.team.served += it.Cost
	q.remove(it)
	return it.Entry, late, true
}

// Expire removes and returns the entries that can no longer start in time. Pop
// does this too; Expire serves owners that have had no capacity for a while.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expire(now)
}

// Charge corrects the cost of a served entry by extra, the actual cost less the
// estimate. It applies to the class of the team's entry served last; ChargeRank
// names the class.
func (q *Queue[T]) Charge(team wire.TeamID, extra int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t := q.teams[team]; t != nil {
		q.charge(t, t.last, extra)
	}
}

// ChargeRank is Charge for a served entry of the given rank.
func (q *Queue[T]) ChargeRank(team wire.TeamID, rank wire.Rank, extra int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t := q.teams[team]; t != nil {
		q.charge(t, classOf(rank), extra)
	}
}

// Remove removes the first entry in order of Latest whose value matches and
// reports whether there was one. Entries with equal Latest have no order.
func (q *Queue[T]) Remove(match func(T) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	var found *item[T]
	for _, it := range q.timed {
		if match(it.Value) && (found == nil || it.before(found)) {
			found = it
		}
	}
	if found == nil {
		return false
	}
	q.remove(found)
	return true
}

// Len returns the number of entries.
func (q *Queue[T]) Len() wire.Slots {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.len()
}

// TeamView is the state of one team for the state dump.
type TeamView struct {
	Team        wire.TeamID
	Interactive wire.Slots // entries waiting
	Batch       wire.Slots // entries waiting
	Served      int64      // cost served since the team was first seen
}

// View returns the teams in name order.
func (q *Queue[T]) View() []TeamView {
	q.mu.Lock()
	defer q.mu.Unlock()
	views := make([]TeamView, 0, len(q.teams))
	for _, t := range q.teams {
		views = append(views, TeamView{t.id, t.flows[interactive].len, t.flows[batch].len, t.served})
	}
	slices.SortFunc(views, func(a, b TeamView) int { return cmp.Compare(a.Team, b.Team) })
	return views
}

func late(latest, now time.Time) bool { return !latest.IsZero() && latest.Before(now) }

func (q *Queue[T]) len() wire.Slots { return wire.Slots(len(q.timed)) }

// addTeam adds a team. At the bound it forgets the teams without entries, and
// with them what they owe.
func (q *Queue[T]) addTeam(id wire.TeamID) *team[T] {
	if len(q.teams) >= maxTeams {
		for name, t := range q.teams {
			if t.len == 0 {
				delete(q.teams, name)
			}
		}
	}
	t := &team[T]{id: id}
	for i := range t.flows {
		t.flows[i] = flow[T]{team: t, class: i, pos: -1, weight: 1}
	}
	q.teams[id] = t
	return t
}

// turn returns the class to serve next: interactive, unless batch is below its part.
func (q *Queue[T]) turn() (class int, ok bool) {
	i, b := len(q.class[interactive].flows) > 0, len(q.class[batch].flows) > 0
	switch {
	case b && (!i || q.credit > 0):
		return batch, true
	case i:
		return interactive, true
	}
	return 0, false
}

// count books the cost of one class towards the part of batch. Cost counts
// only while both classes wait: batch gathers no claim while it has no entries
// and owes nothing for capacity that interactive work left over.
func (q *Queue[T]) count(class int, cost int64) {
	if len(q.class[interactive].flows) == 0 || len(q.class[batch].flows) == 0 {
		return
	}
	if class == batch {
		cost *= -(batchPart - 1)
	}
	q.credit = min(max(q.credit+cost, -maxCredit), maxCredit)
}

func (q *Queue[T]) charge(t *team[T], class int, extra int64) {
	extra = min(max(extra, -maxCost), maxCost)
	t.served += extra
	q.count(class, extra)
	c, f := &q.class[class], &t.flows[class]
	f.start(c)
	f.tag += float64(extra) / float64(f.weight)
	if f.pos >= 0 {
		heap.Fix(&c.flows, f.pos)
	}
}

func (q *Queue[T]) append(it *item[T]) {
	f := it.flow
	c := &q.class[f.class]
	heap.Push(&q.timed, it)
	f.team.len++
	f.len++
	if f.tail != nil {
		it.prev, f.tail.next, f.tail = f.tail, it, it
		return
	}
	f.head, f.tail = it, it
	f.start(c)
	f.tag = max(f.tag, c.now)
	heap.Push(&c.flows, f)
}

func (q *Queue[T]) remove(it *item[T]) {
	f := it.flow
	c := &q.class[f.class]
	heap.Remove(&q.timed, it.pos)
	f.team.len--
	f.len--
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	if f.head != nil {
		heap.Fix(&c.flows, f.pos)
		return
	}
	heap.Remove(&c.flows, f.pos)
	if f.class == batch && len(c.flows) == 0 {
		q.credit = min(q.credit, 0)
	}
}

func (q *Queue[T]) expire(now time.Time) (gone []Entry[T]) {
	for len(q.timed) > 0 && late(q.timed[0].Latest, now) {
		it := q.timed[0]
		gone = append(gone, it.Entry)
		q.remove(it)
	}
	return gone
}

// rest starts a new period if the class has no entries.
func (c *class[T]) rest() {
	if len(c.flows) == 0 {
		c.period++
		c.now = 0
	}
}

// start voids a tag of an earlier period.
func (f *flow[T]) start(c *class[T]) {
	if f.period != c.period {
		f.period = c.period
		f.tag = 0
	}
}

// before orders items by last useful start, those without one last.
func (it *item[T]) before(o *item[T]) bool {
	if it.Latest.IsZero() || o.Latest.IsZero() {
		return !it.Latest.IsZero() && o.Latest.IsZero()
	}
	return it.Latest.Before(o.Latest)
}

// flowHeap orders the flows with entries by start tag, then by arrival.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].head.serial < h[j].head.serial
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.pos = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.pos = -1
	return f
}

// timedHeap orders all entries by last useful start.
type timedHeap[T any] []*item[T]

func (h timedHeap[T]) Len() int           { return len(h) }
func (h timedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h timedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *timedHeap[T]) Push(x any) {
	it := x.(*item[T])
	it.pos = len(*h)
	*h = append(*h, it)
}

func (h *timedHeap[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}
