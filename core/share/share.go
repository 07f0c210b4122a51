// Package share divides capacity among teams in proportion to their weights. Queue is a
// weighted fair queue for a process that holds all waiting requests: interactive work goes
// before batch work, and batch work is guaranteed a minimum share. Divider computes the same
// shares for many routers from the demand that each of them measures. The package does no
// I/O and starts no goroutine.
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
	// batchShareDivisor sets the share of the served cost that batch work gets while
	// both classes wait to 1/batchShareDivisor.
	batchShareDivisor = 10
	// defaultQueueLimit and defaultTeamLimit, in entries, replace limits that are not
	// positive.
	defaultQueueLimit wire.Slots = 1024
	defaultTeamLimit  wire.Slots = 64
	// maxTeams limits the number of teams in Queue.teams. It is far above the expected
	// 800, so that a busy team isn't dropped before its last charges arrive.
	maxTeams = 4096
	// maxCost limits a single cost, as wire.Cost does, so that a wrong value can't
	// make the sums lose precision.
	maxCost = 1 << 40
	// maxCredit limits the absolute value of Queue.batchCredit.
	maxCredit = maxCost * batchShareDivisor
)

// Entry is a waiting request.
type Entry[T any] struct {
	Team        wire.TeamID
	Weight      int // weight of the team relative to other teams, at least 1
	Rank        wire.Rank
	Cost        int64      // estimated cost, at least 1
	LatestStart time.Time  // time after which a start is too late; zero for none
	TeamLimit   wire.Slots // maximum entries of the team in the queue; 64 if not positive
	Value       T
}

// Queue is a bounded queue with start-time fair queuing. Each class (interactive,
// batch) has a fair queue of its own. It is safe for concurrent use. Create it
// with New.
type Queue[T any] struct {
	mu            sync.Mutex
	limit         wire.Slots
	teams         map[wire.TeamID]*team[T]
	classes       [2]class[T]
	byLatestStart latestStartHeap[T] // all entries, ordered by LatestStart
	lastSeq       uint64
	// batchCredit is the cost of batch work that may be served before the next
	// interactive entry, in units of 1/(batchShareDivisor-1) of a cost unit.
	batchCredit int64
}

// Classes, as indices of Queue.classes and team.flows.
const (
	interactive = iota
	batch
)

// classOf returns the class of a rank, interactive or batch.
func classOf(r wire.Rank) int {
	if r == wire.RankBatch {
		return batch
	}
	return interactive
}

// class is the fair queue of interactive or batch entries.
type class[T any] struct {
	flows flowHeap[T]
	// virtualTime is the highest start tag served in this busy period.
	virtualTime float64
	// busyPeriod is the number of the current busy period; it increases when Pop
	// finds the class empty. Start tags of earlier periods are invalid: there was spare
	// capacity, so no team owes anything.
	busyPeriod uint64
}

// team is the state of one team in both classes.
type team[T any] struct {
	id         wire.TeamID
	len        wire.Slots
	servedCost int64 // sum of estimated costs, corrected to actual costs by Charge
	lastClass  int   // class of the team's entry served last
	flows      [2]flow[T]
}

// flow is the FIFO queue of a team in a class.
type flow[T any] struct {
	team       *team[T]
	class      int
	len        wire.Slots
	head, tail *item[T]
	startTag   float64 // start tag of the head or, if empty, the earliest tag of the next entry
	busyPeriod uint64  // busy period of the class to which startTag belongs
	weight     int     // weight of the entry served last
	heapIndex  int     // index in class.flows, -1 if the flow has no entries
}

// item is an entry in the list of its flow.
type item[T any] struct {
	Entry[T]
	flow       *flow[T]
	prev, next *item[T]
	seq        uint64
	heapIndex  int // index in Queue.byLatestStart
}

// New returns a queue for at most limit entries, or 1,024 if limit is not positive.
func New[T any](limit wire.Slots) *Queue[T] {
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	return &Queue[T]{limit: limit, teams: make(map[wire.TeamID]*team[T])}
}

// Push adds e. ok is false if e is refused: reason is ReasonDeadline if e.LatestStart
// has passed, and ReasonQueue if the queue or the team's limit is reached.
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

// Pop removes and returns the next entry to serve. ok is false if there is none.
// expired holds the entries whose latest start has passed; they are removed in both
// cases.
func (q *Queue[T]) Pop(now time.Time) (e Entry[T], expired []Entry[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	expired = q.expire(now)
	for i := range q.classes {
		q.classes[i].resetIfEmpty()
	}
	i, ok := q.nextClass()
	if !ok {
		return e, expired, false
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
	return it.Entry, expired, true
}

// Expire removes and returns the entries whose latest start has passed. Pop does this
// too; Expire is for callers that have no capacity to pop for a while.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expire(now)
}

// Charge corrects the cost of a served entry by extra, the actual cost minus the
// estimate. It charges the class of the team's entry served last; use ChargeRank to
// name the class.
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

// Remove removes the matching entry with the earliest LatestStart and reports whether
// there was one. The choice among entries with equal LatestStart is undefined.
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

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() wire.Slots {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.len()
}

// TeamView is the state of a team in the state dump.
type TeamView struct {
	Team        wire.TeamID
	Interactive wire.Slots // entries waiting
	Batch       wire.Slots // entries waiting
	Served      int64      // cost served since the queue last added the team
}

// View returns the state of the teams, sorted by name.
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

// startExpired reports whether the latest start has passed.
func startExpired(latest, now time.Time) bool { return !latest.IsZero() && latest.Before(now) }

func (q *Queue[T]) len() wire.Slots { return wire.Slots(len(q.byLatestStart)) }

// addTeam adds a team. At maxTeams it first drops all teams without entries, together
// with the cost that they owe.
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

// nextClass returns the class to serve next: interactive, unless it has no entries or
// batch is below its guaranteed share. ok is false if both classes are empty.
func (q *Queue[T]) nextClass() (class int, ok bool) {
	hasInteractive, hasBatch := len(q.classes[interactive].flows) > 0, len(q.classes[batch].flows) > 0
	switch {
	case hasBatch && (!hasInteractive || q.batchCredit > 0):
		return batch, true
	case hasInteractive:
		return interactive, true
	}
	return 0, false
}

// addBatchCredit updates batchCredit for a cost served in a class. The cost counts only
// while both classes have entries: batch earns no credit while it has none, and owes
// nothing for capacity that interactive work left unused.
func (q *Queue[T]) addBatchCredit(class int, cost int64) {
	if len(q.classes[interactive].flows) == 0 || len(q.classes[batch].flows) == 0 {
		return
	}
	if class == batch {
		cost *= -(batchShareDivisor - 1)
	}
	q.batchCredit = min(max(q.batchCredit+cost, -maxCredit), maxCredit)
}

// charge adds extra to the cost served for t in a class and to its start tag there.
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

func (q *Queue[T]) expire(now time.Time) (expired []Entry[T]) {
	for len(q.byLatestStart) > 0 && startExpired(q.byLatestStart[0].LatestStart, now) {
		it := q.byLatestStart[0]
		expired = append(expired, it.Entry)
		q.remove(it)
	}
	return expired
}

// resetIfEmpty starts a new busy period if the class has no entries.
func (c *class[T]) resetIfEmpty() {
	if len(c.flows) == 0 {
		c.busyPeriod++
		c.virtualTime = 0
	}
}

// resetStaleTag sets the start tag to 0 if it belongs to an earlier busy period.
func (f *flow[T]) resetStaleTag(c *class[T]) {
	if f.busyPeriod != c.busyPeriod {
		f.busyPeriod = c.busyPeriod
		f.startTag = 0
	}
}

// before reports whether it has an earlier latest start than o. Items without one
// come last.
func (it *item[T]) before(o *item[T]) bool {
	if it.LatestStart.IsZero() || o.LatestStart.IsZero() {
		return !it.LatestStart.IsZero() && o.LatestStart.IsZero()
	}
	return it.LatestStart.Before(o.LatestStart)
}

// flowHeap is a min-heap of the flows with entries by start tag, then by arrival of
// their heads.
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

// latestStartHeap is a min-heap of all entries by latest start.
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
