// Package batch lets pieces of many requests share calls to the upstreams of a
// stage service. A call has a fixed cost, so that the pieces that wait while all
// upstreams are busy go out together. It does no I/O.
//
// It answers the load of bursts of one pipeline: pieces that can still be in time
// go before those that can't, a result is made in the data centre that reads it
// where that costs little time, and no upstream is asked to keep more results than
// it has room for.
package batch

import (
	"cmp"
	"slices"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const (
	// maxPieces bounds the pieces that wait for one service.
	maxPieces = 8192
	// bulky is the number of bytes from which it matters where a piece is made;
	// fewer cost less to move than a call made early.
	bulky fleet.Bytes = 256 << 10
	// roomPart is the part of an upstream's room that is used, in percent: sizes of
	// results are approximate.
	roomPart = 92
	// fullTime is the time for which an upstream that had no room is given no more
	// results than it kept then.
	fullTime = 500 * time.Millisecond
	// slowFactor is how many times slower than the fastest an upstream may be before
	// it only gets what the others can't take.
	slowFactor = 1.7
	// paceWeight is the weight of a new sample in an upstream's pace.
	paceWeight = 0.3
	// backoffMin and backoffMax bound the back-off of an upstream after calls that failed one
	// after the other. The first is short: an upstream that loses some of its
	// answers still makes most results.
	backoffMin = 50 * time.Millisecond
	backoffMax = 3 * time.Second
	// idlePoll bounds the time until Next should be asked again.
	idlePoll = 50 * time.Millisecond
)

// Piece is one unit of stage work.
type Piece[T any] struct {
	Value  T
	Centre wire.DataCentreID // that reads the result
	Size   fleet.Bytes       // of the result
	Moved  fleet.Bytes       // between data centres if it is made outside Centre
	Rank   int               // 0 is the most urgent
	Aim    time.Time         // by which the result still helps full credit
	Latest time.Time         // after which the result is useless

	since time.Time
	order uint64
}

// Queue holds the pieces that wait for one service, and what is known of its
// upstreams. It is not safe for concurrent use.
type Queue[T any] struct {
	calls   fleet.StageCalls
	waiting []*Piece[T]
	workers map[wire.UpstreamID]*worker
	order   uint64
}

type worker struct {
	centre   wire.DataCentreID
	flight   int         // calls in progress
	began    time.Time   // of the last call
	size     int         // pieces of the last call
	reserved fleet.Bytes // for results of calls in progress
	kept     map[fleet.Handle]kept
	used     fleet.Bytes
	// fullAt is what the upstream kept when it last had no room, up to fullUntil:
	// it may keep results that this queue doesn't know of.
	fullAt    fleet.Bytes
	fullUntil time.Time
	pace      float64 // time of calls over the expected time, 0 before the first
	// steady is the pace before calls that timed out, 0 without such calls.
	steady       float64
	backoff      time.Duration
	backoffUntil time.Time
}

type kept struct {
	size  fleet.Bytes
	until time.Time
}

// New returns an empty queue.
func New[T any](c fleet.StageCalls) *Queue[T] {
	return &Queue[T]{calls: c, workers: make(map[wire.UpstreamID]*worker)}
}

// SetCalls replaces the description of the service's calls.
func (q *Queue[T]) SetCalls(c fleet.StageCalls) { q.calls = c }

// SetUpstreams replaces the upstreams that take calls. What is known of those that
// stay is kept.
func (q *Queue[T]) SetUpstreams(us []fleet.Upstream) {
	live := make(map[wire.UpstreamID]bool, len(us))
	for _, u := range us {
		live[u.ID] = true
		if q.workers[u.ID] == nil {
			q.workers[u.ID] = &worker{centre: u.Centre, kept: make(map[fleet.Handle]kept)}
		}
	}
	for id := range q.workers {
		if !live[id] {
			delete(q.workers, id)
		}
	}
}

// Push adds pieces. It adds none and returns false if the queue is full.
func (q *Queue[T]) Push(now time.Time, ps ...Piece[T]) bool {
	if len(q.waiting)+len(ps) > maxPieces {
		return false
	}
	for _, p := range ps {
		p.since = now
		q.order++
		p.order = q.order
		q.waiting = append(q.waiting, &p)
	}
	return true
}

// Remove drops the waiting pieces that match and returns their number.
func (q *Queue[T]) Remove(match func(T) bool) int {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(p *Piece[T]) bool { return match(p.Value) })
	return before - len(q.waiting)
}

// Len returns the number of waiting pieces.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Next returns the pieces of the next call for an upstream, most urgent first. With
// none, wait is the time after which to ask again unless pieces are pushed. late
// holds pieces that can't be made in time; they are removed.
func (q *Queue[T]) Next(now time.Time, id wire.UpstreamID) (ps []Piece[T], late []Piece[T], wait time.Duration) {
	late = q.expire(now)
	w := q.workers[id]
	switch {
	case w == nil || len(q.waiting) == 0 || w.flight >= max(q.calls.Slots, 1):
		return nil, late, idlePoll
	case now.Before(w.backoffUntil):
		return nil, late, min(w.backoffUntil.Sub(now), idlePoll)
	}
	if slow := q.slow(); w.pace > slow && len(q.waiting) <= q.calls.MaxBatch*q.faster(now, w, slow) {
		return nil, late, idlePoll
	}
	w.expire(now)
	chosen, wait := q.choose(now, w, q.room(now, w))
	if len(chosen) == 0 {
		return nil, late, wait
	}
	taken := make(map[*Piece[T]]bool, len(chosen))
	for _, p := range chosen {
		taken[p] = true
		w.reserved += p.Size
		ps = append(ps, *p)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(p *Piece[T]) bool { return taken[p] })
	w.flight++
	w.began = now
	w.size = len(ps)
	return ps, late, 0
}

// room is what the upstream can keep beside the results that it keeps and makes.
func (q *Queue[T]) room(now time.Time, w *worker) fleet.Bytes {
	most := q.calls.ResultCapacity * roomPart / 100
	if now.Before(w.fullUntil) {
		most = min(most, w.fullAt)
	}
	return most - w.used - w.reserved
}

// choose returns up to a batch of pieces that fit into room and that the data
// centre of w may make now. Bulky pieces of other data centres come last, unless
// theirs has more to do.
func (q *Queue[T]) choose(now time.Time, w *worker, room fleet.Bytes) (chosen []*Piece[T], wait time.Duration) {
	q.sort(now, w)
	wait = idlePoll
	serving := q.serving(now)
	depth := q.depth(serving)
	ahead := make(map[wire.DataCentreID]int)
	var foreign []*Piece[T]
	take := func(p *Piece[T]) {
		if len(chosen) < q.calls.MaxBatch && p.Size <= room {
			room -= p.Size
			chosen = append(chosen, p)
		}
	}
	for _, p := range q.waiting {
		if len(chosen) == q.calls.MaxBatch {
			break
		}
		if p.Centre == w.centre || p.Moved < bulky {
			take(p)
			continue
		}
		next := ahead[p.Centre] < q.calls.MaxBatch*serving[p.Centre]
		ahead[p.Centre]++
		if d := q.stay(now, w, p); next && d > 0 {
			wait = min(wait, d)
			continue
		}
		if depth[p.Centre] > depth[w.centre]+float64(q.calls.MaxBatch) {
			take(p)
			continue
		}
		foreign = append(foreign, p)
	}
	for _, p := range foreign {
		take(p)
	}
	return chosen, wait
}

// depth returns the bulky pieces that wait in each data centre for each of its
// upstreams that serve; where none does, it is infinite.
func (q *Queue[T]) depth(serving map[wire.DataCentreID]int) map[wire.DataCentreID]float64 {
	d := make(map[wire.DataCentreID]float64)
	for _, p := range q.waiting {
		if p.Moved >= bulky {
			d[p.Centre]++
		}
	}
	for c := range d {
		d[c] /= float64(serving[c])
	}
	return d
}

// stay returns how long a piece whose turn comes with the next calls of its own data
// centre still waits for one of them.
func (q *Queue[T]) stay(now time.Time, w *worker, p *Piece[T]) time.Duration {
	patience := min(q.calls.CallOverhead, max(p.Aim.Sub(now)-2*q.took(w, q.calls.MaxBatch), 0))
	return patience - now.Sub(p.since)
}

// serving counts the upstreams of each data centre that can take calls.
func (q *Queue[T]) serving(now time.Time) map[wire.DataCentreID]int {
	n := make(map[wire.DataCentreID]int)
	for _, w := range q.workers {
		if !now.Before(w.backoffUntil) {
			n[w.centre]++
		}
	}
	return n
}

// sort orders the waiting pieces for w: those that it can still make in time go by
// their aim, the others after them by rank and age.
func (q *Queue[T]) sort(now time.Time, w *worker) {
	done := now.Add(q.took(w, min(len(q.waiting), q.calls.MaxBatch)))
	missed := func(p *Piece[T]) int {
		if done.After(p.Aim) {
			return 1
		}
		return 0
	}
	slices.SortFunc(q.waiting, func(a, b *Piece[T]) int {
		ma, mb := missed(a), missed(b)
		if ma != mb {
			return ma - mb
		}
		if ma == 1 {
			return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Aim.Compare(b.Aim), cmp.Compare(a.order, b.order))
		}
		return cmp.Or(a.Aim.Compare(b.Aim), cmp.Compare(a.order, b.order))
	})
}

// expire removes the pieces whose results would come too late.
func (q *Queue[T]) expire(now time.Time) (late []Piece[T]) {
	least := q.calls.ExpectedTime(1)
	q.waiting = slices.DeleteFunc(q.waiting, func(p *Piece[T]) bool {
		if now.Add(least).Before(p.Latest) {
			return false
		}
		late = append(late, *p)
		return true
	})
	return late
}

// Result describes the end of one call.
type Result struct {
	Reserved fleet.Bytes                  // the sizes of all pieces of the call
	Made     map[fleet.Handle]fleet.Bytes // the results that are kept
	Failed   bool                         // the call as a whole failed
	Timeout  bool                         // no answer came within Limit
	Full     bool                         // the upstream had no place for the call
	NoRoom   bool                         // pieces were not made because it can't keep more results
}

// Done records the end of a call at an upstream.
func (q *Queue[T]) Done(now time.Time, id wire.UpstreamID, r Result) {
	w := q.workers[id]
	if w == nil {
		return
	}
	w.flight--
	w.reserved -= r.Reserved
	for h, size := range r.Made {
		w.kept[h] = kept{size, now.Add(q.calls.ResultTTL)}
		w.used += size
	}
	if r.NoRoom {
		w.fullAt = w.used
		w.fullUntil = now.Add(fullTime)
	}
	if r.Full {
		// A place becomes free when a call ends, which says nothing of failures.
		w.backoffUntil = now.Add(q.calls.CallOverhead)
		return
	}
	sample := float64(now.Sub(w.began)) / float64(q.calls.ExpectedTime(w.size))
	if r.Timeout {
		// The upstream may have become slower, and gets more time for its next call.
		if w.steady == 0 {
			w.steady = w.pace
		}
		w.pace = max(w.pace, sample)
	}
	if r.Failed || r.NoRoom && len(r.Made) == 0 {
		w.backoff = min(max(2*w.backoff, backoffMin), backoffMax)
		w.backoffUntil = now.Add(w.backoff)
		return
	}
	w.backoff = 0
	if sample < (w.steady+w.pace)/2 {
		w.pace = w.steady // only the answer was lost
	}
	w.steady = 0
	if w.pace == 0 {
		w.pace = sample
	}
	w.pace += paceWeight * (sample - w.pace)
}

// Free records that results are no longer kept. It returns those of each upstream,
// and those that the queue doesn't know: they were made for another owner of it.
func (q *Queue[T]) Free(hs []fleet.Handle) (known map[wire.UpstreamID][]fleet.Handle, unknown []fleet.Handle) {
	known = make(map[wire.UpstreamID][]fleet.Handle)
	for _, h := range hs {
		id, ok := q.keeper(h)
		if !ok {
			unknown = append(unknown, h)
			continue
		}
		w := q.workers[id]
		w.used -= w.kept[h].size
		delete(w.kept, h)
		known[id] = append(known[id], h)
	}
	return known, unknown
}

func (q *Queue[T]) keeper(h fleet.Handle) (wire.UpstreamID, bool) {
	for id, w := range q.workers {
		if _, ok := w.kept[h]; ok {
			return id, true
		}
	}
	return "", false
}

// Estimate returns the time after which n more pieces with the given aim would be
// made, as far as the queue shows. ok is false when no upstream can make them.
func (q *Queue[T]) Estimate(now time.Time, n int, aim time.Time) (d time.Duration, ok bool) {
	able := 0
	soonest := time.Duration(-1)
	pace := 0.0
	slow := q.slow()
	for _, w := range q.workers {
		if now.Before(w.backoffUntil) || w.pace > slow {
			continue
		}
		able++
		pace += max(w.pace, 1)
		if left := w.left(now, &q.calls); soonest < 0 || left < soonest {
			soonest = left
		}
	}
	if able == 0 {
		return 0, len(q.workers) > 0
	}
	ahead := 0
	for _, p := range q.waiting {
		if !p.Aim.After(aim) && p.Aim.After(now) {
			ahead++
		}
	}
	pace /= float64(able)
	full := time.Duration(float64(q.calls.ExpectedTime(q.calls.MaxBatch)) * pace)
	rounds := float64(ahead+n) / float64(max(q.calls.MaxBatch, 1)*able)
	return soonest + time.Duration(rounds*float64(full)) + q.calls.CallOverhead, true
}

// Rate returns the pieces a second that the service's upstreams make in full calls.
func (q *Queue[T]) Rate(now time.Time) (rate float64) {
	for _, w := range q.workers {
		if now.Before(w.backoffUntil) {
			continue
		}
		rate += float64(q.calls.MaxBatch) / q.took(w, q.calls.MaxBatch).Seconds()
	}
	return rate
}

// left is the expected time until the worker's call ends.
func (w *worker) left(now time.Time, c *fleet.StageCalls) time.Duration {
	if w.flight == 0 {
		return 0
	}
	took := time.Duration(float64(c.ExpectedTime(w.size)) * max(w.pace, 1))
	return max(took-now.Sub(w.began), 0)
}

// took is the expected time of a call with n pieces at w.
func (q *Queue[T]) took(w *worker, n int) time.Duration {
	return time.Duration(float64(q.calls.ExpectedTime(n)) * max(w.pace, 1))
}

// Limit returns the time after which a call with n pieces at an upstream counts as
// lost.
func (q *Queue[T]) Limit(id wire.UpstreamID, n int) time.Duration {
	w := q.workers[id]
	if w == nil {
		return lostSlack
	}
	return q.took(w, n) + q.calls.ExpectedTime(q.calls.MaxBatch) + lostSlack
}

// lostSlack is the time beyond its own and that of one full call of another router
// before it after which a call has lost its answer or met an upstream that hangs. Its
// pieces are made elsewhere then.
const lostSlack = 100 * time.Millisecond

// slow returns the pace over which an upstream only gets what the others can't take.
func (q *Queue[T]) slow() float64 {
	best := 0.0
	for _, w := range q.workers {
		if w.pace > 0 && (best == 0 || w.pace < best) {
			best = w.pace
		}
	}
	return slowFactor * max(best, 1)
}

// faster counts the other upstreams that are not slow and can take calls.
func (q *Queue[T]) faster(now time.Time, than *worker, slow float64) (n int) {
	for _, w := range q.workers {
		if w != than && w.pace <= slow && !now.Before(w.backoffUntil) {
			n++
		}
	}
	return n
}

func (w *worker) expire(now time.Time) {
	for h, k := range w.kept {
		if now.After(k.until) {
			w.used -= k.size
			delete(w.kept, h)
		}
	}
}

// View describes the queue for the state dump.
type View struct {
	Waiting int                            `json:"waiting"`
	Workers map[wire.UpstreamID]WorkerView `json:"workers"`
}

// WorkerView describes one upstream of a queue.
type WorkerView struct {
	Flight   int         `json:"flight"`
	Used     fleet.Bytes `json:"used"`
	Reserved fleet.Bytes `json:"reserved"`
	Pace     float64     `json:"pace"`
}

// View returns the current state.
func (q *Queue[T]) View() View {
	v := View{len(q.waiting), make(map[wire.UpstreamID]WorkerView, len(q.workers))}
	for id, w := range q.workers {
		v.Workers[id] = WorkerView{w.flight, w.used, w.reserved, w.pace}
	}
	return v
}
