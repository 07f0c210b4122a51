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
	// batchShareDivisor is the part of the cost served, as 1/batchShareDivisor, that waiting
	// batch work gets while interactive work waits too.
	batchShareDivisor = 10
	// defaultQueueLimit and defaultTeamLimit apply where a bound is not positive.
	defaultQueueLimit wire.Slots = 1024
	defaultTeamLimit  wire.Slots = 64
	// maxTeams bounds the teams remembered; it is far above 800 so that a busy
	// team isn't forgotten while its charges are still due.
	maxTeams = 4096
	// maxCost bounds one cost, as wire.Cost does, so that a wrong figure can't
	// make the sums lose precision.
	maxCost = 1 << 40
	// maxCredit bounds what one class may owe the other.
	maxCredit = maxCost * batchShareDivisor
)

// Entry is one waiting request.
type Entry[T any] struct {
	Team        wire.TeamID
	Weight      int // share of the team relative to the others, at least 1
	Rank        wire.Rank
	Cost        int64      // estimate, at least 1
	LatestStart time.Time  // last useful start; zero for none
	TeamLimit   wire.Slots // of the team's entries in the queue; 64 if not positive
	Value       T
}

// Queue is a bounded start-time fair queue. Each class (interactive, batch) is
// a fair queue of its own. It is safe for concurrent use. Create it with New.
type Queue[T any] struct {
	mu            sync.Mutex
	limit         wire.Slots
	teams         map[wire.TeamID]*team[T]
	classes       [2]class[T]
	byLatestStart latestStartHeap[T] // all entries by Latest
	lastSeq       uint64
	// batchCredit is the cost that waiting batch work may be served before the
	// next interactive entry, in 1/(batchShareDivisor-1) of a cost unit.
	batchCredit int64
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
	// virtualTime is the virtual time: the highest start tag served.
	virtualTime float64
	// busyPeriod counts the times that the class was found empty. Tags of an
	// earlier period are void: capacity was left over, so nobody owes anything.
	busyPeriod uint64
}

// team is the state of one team in both classes.
type team[T any] struct {
	id         wire.TeamID
	len        wire.Slots
	servedCost int64 // cost, estimates replaced by actual cost as it is charged
	lastClass  int   // class of the entry served last
	flows      [2]flow[T]
}

// flow is the FIFO of one team in one class.
type flow[T any] struct {
	team       *team[T]
	class      int
	len        wire.Slots
	head, tail *item[T]
	startTag   float64 // start tag of the head, or of the next entry
	busyPeriod uint64
	weight     int
	heapIndex  int // in class.flows, -1 when there is none
}

type item[T any] struct {
	Entry[T]
	flow       *flow[T]
	prev, next *item[T]
	seq        uint64
	heapIndex  int // in Queue.timed
}

// New returns a queue for at most total entries, or 1,024 if total is not positive.
func New[T any](total wire.Slots) *Queue[T] {
	if total <= 0 {
		total = defaultQueueLimit
	}
	return &Queue[T]{limit: total, teams: make(map[wire.TeamID]*team[T])}
}

// Push adds e. When the queue or the team's part of it is full, ok is false and
// reason is ReasonQueue; when its last useful start has passed, ReasonDeadline.
func (q *Queue[T]) Push(now time.Time, e Entry[T]) (reason wire.Reason, ok bool) {
	if startExpired(e.LatestStart, now) {
		return wire.ReasonDeadline, false
	}
	e.Weight = max(e.Weight, 1)
	e.Cost = min(max(e.Cost, 1), maxCost)
	if e.TeamLimit <= 0 {
		e.TeamLimit = defaultTeamLimit
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.teams[e.Team]
	if q.len() >= q.limit || t != nil && t.len >= e.TeamLimit {
		return wire.ReasonQueue, false
	}
	if t == nil {
		t = q.addTeam(e.Team)
	}
	q.lastSeq++
	it := &item[T]{Entry: e, flow: &t.flows[classOf(e.Rank)], seq: q.lastSeq}
	q.append(it)
	return "", true
}

// Pop removes the entry whose turn it is. late holds the entries that can no
// longer start in time; they are removed as well, also when ok is false.
func (q *Queue[T]) Pop(now time.Time) (e Entry[T], late []Entry[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	late = q.expire(now)
	for i := range q.classes {
		q.classes[i].resetIfEmpty()
	}
	i, ok := q.nextClass()
	if !ok {
		return e, late, false
	}
	c := &q.classes[i]
	f := c.flows[0]
	it := f.head
	q.addBatchCredit(i, it.Cost)
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += float64(it.Cost) / float64(it.Weight)
	f.weight = it.Weight
	f.team.lastClass = i
	f.team.servedCost += it.Cost
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
		q.charge(t, t.lastClass, extra)
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
	for _, it := range q.byLatestStart {
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
		views = append(views, TeamView{t.id, t.flows[interactive].len, t.flows[batch].len, t.servedCost})
	}
	slices.SortFunc(views, func(a, b TeamView) int { return cmp.Compare(a.Team, b.Team) })
	return views
}

func startExpired(latest, now time.Time) bool { return !latest.IsZero() && latest.Before(now) }

func (q *Queue[T]) len() wire.Slots { return wire.Slots(len(q.byLatestStart)) }

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
		t.flows[i] = flow[T]{team: t, class: i, heapIndex: -1, weight: 1}
	}
	q.teams[id] = t
	return t
}

// nextClass returns the class to serve next: interactive, unless batch is below its part.
func (q *Queue[T]) nextClass() (class int, ok bool) {
	i, b := len(q.classes[interactive].flows) > 0, len(q.classes[batch].flows) > 0
	switch {
	case b && (!i || q.batchCredit > 0):
		return batch, true
	case i:
		return interactive, true
	}
	return 0, false
}

// addBatchCredit books the cost of one class towards the part of batch. Cost counts
// only while both classes wait: batch gathers no claim while it has no entries
// and owes nothing for capacity that interactive work left over.
func (q *Queue[T]) addBatchCredit(class int, cost int64) {
	if len(q.classes[interactive].flows) == 0 || len(q.classes[batch].flows) == 0 {
		return
	}
	if class == batch {
		cost *= -(batchShareDivisor - 1)
	}
	q.batchCredit = min(max(q.batchCredit+cost, -maxCredit), maxCredit)
}

func (q *Queue[T]) charge(t *team[T], class int, extra int64) {
	extra = min(max(extra, -maxCost), maxCost)
	t.servedCost += extra
	q.addBatchCredit(class, extra)
	c, f := &q.classes[class], &t.flows[class]
	f.resetStaleTag(c)
	f.startTag += float64(extra) / float64(f.weight)
	if f.heapIndex >= 0 {
		heap.Fix(&c.flows, f.heapIndex)
	}
}

func (q *Queue[T]) append(it *item[T]) {
	f := it.flow
	c := &q.classes[f.class]
	heap.Push(&q.byLatestStart, it)
	f.team.len++
	f.len++
	if f.tail != nil {
		it.prev, f.tail.next, f.tail = f.tail, it, it
		return
	}
	f.head, f.tail = it, it
	f.resetStaleTag(c)
	f.startTag = max(f.startTag, c.virtualTime)
	heap.Push(&c.flows, f)
}

func (q *Queue[T]) remove(it *item[T]) {
	f := it.flow
	c := &q.classes[f.class]
	heap.Remove(&q.byLatestStart, it.heapIndex)
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
		heap.Fix(&c.flows, f.heapIndex)
		return
	}
	heap.Remove(&c.flows, f.heapIndex)
	if f.class == batch && len(c.flows) == 0 {
		q.batchCredit = min(q.batchCredit, 0)
	}
}

func (q *Queue[T]) expire(now time.Time) (gone []Entry[T]) {
	for len(q.byLatestStart) > 0 && startExpired(q.byLatestStart[0].LatestStart, now) {
		it := q.byLatestStart[0]
		gone = append(gone, it.Entry)
		q.remove(it)
	}
	return gone
}

// resetIfEmpty starts a new period if the class has no entries.
func (c *class[T]) resetIfEmpty() {
	if len(c.flows) == 0 {
		c.busyPeriod++
		c.virtualTime = 0
	}
}

// resetStaleTag voids a tag of an earlier period.
func (f *flow[T]) resetStaleTag(c *class[T]) {
	if f.busyPeriod != c.busyPeriod {
		f.busyPeriod = c.busyPeriod
		f.startTag = 0
	}
}

// before orders items by last useful start, those without one last.
func (it *item[T]) before(o *item[T]) bool {
	if it.LatestStart.IsZero() || o.LatestStart.IsZero() {
		return !it.LatestStart.IsZero() && o.LatestStart.IsZero()
	}
	return it.LatestStart.Before(o.LatestStart)
}

// flowHeap orders the flows with entries by start tag, then by arrival.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].head.seq < h[j].head.seq
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}

// latestStartHeap orders all entries by last useful start.
type latestStartHeap[T any] []*item[T]

func (h latestStartHeap[T]) Len() int           { return len(h) }
func (h latestStartHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h latestStartHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *latestStartHeap[T]) Push(x any) {
	it := x.(*item[T])
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

func (h *latestStartHeap[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}
