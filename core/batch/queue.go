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
	// localityThreshold is the number of bytes from which it matters where a piece is made;
	// fewer cost less to move than a call made early.
	localityThreshold fleet.Bytes = 256 << 10
	// maxRoomPercent is the part of an upstream's room that is used, in percent: sizes of
	// results are approximate.
	maxRoomPercent = 92
	// noRoomInterval is the time for which an upstream that had no room is given no more
	// results than it kept then.
	noRoomInterval = 500 * time.Millisecond
	// slowRatio is how many times slower than the fastest an upstream may be before
	// it only gets what the others can't take.
	slowRatio = 1.7
	// slowdownWeight is the weight of a new sample in an upstream's pace.
	slowdownWeight = 0.3
	// backoffMin and backoffMax bound the back-off of an upstream after calls that failed one
	// after the other. The first is short: an upstream that loses some of its
	// answers still makes most results.
	backoffMin = 50 * time.Millisecond
	backoffMax = 3 * time.Second
	// maxPollInterval bounds the time until Next should be asked again.
	maxPollInterval = 50 * time.Millisecond
)

// Piece is one unit of stage work.
type Piece[T any] struct {
	Value    T
	Centre   wire.DataCentreID // that reads the result
	Size     fleet.Bytes       // of the result
	Moved    fleet.Bytes       // between data centres if it is made outside Centre
	Rank     int               // 0 is the most urgent
	Aim      time.Time         // by which the result still helps full credit
	Deadline time.Time         // after which the result is useless

	queuedAt time.Time
	seq      uint64
}

// Queue holds the pieces that wait for one service, and what is known of its
// upstreams. It is not safe for concurrent use.
type Queue[T any] struct {
	calls     fleet.StageCalls
	waiting   []*Piece[T]
	upstreams map[wire.UpstreamID]*upstream
	lastSeq   uint64
}

type upstream struct {
	centre     wire.DataCentreID
	inFlight   int         // calls in progress
	lastStart  time.Time   // of the last call
	lastPieces int         // pieces of the last call
	reserved   fleet.Bytes // for results of calls in progress
	results    map[fleet.Handle]storedResult
	used       fleet.Bytes
	// noRoomLimit is what the upstream kept when it last had no room, up to noRoomUntil:
	// it may keep results that this queue doesn't know of.
	noRoomLimit fleet.Bytes
	noRoomUntil time.Time
	slowdown    float64 // time of calls over the expected time, 0 before the first
	// slowdownBeforeTimeout is the pace before calls that timed out, 0 without such calls.
	slowdownBeforeTimeout float64
	backoff               time.Duration
	backoffUntil          time.Time
}

type storedResult struct {
	size    fleet.Bytes
	expires time.Time
}

// New returns an empty queue.
func New[T any](c fleet.StageCalls) *Queue[T] {
	return &Queue[T]{calls: c, upstreams: make(map[wire.UpstreamID]*upstream)}
}

// SetCalls replaces the description of the service's calls.
func (q *Queue[T]) SetCalls(c fleet.StageCalls) { q.calls = c }

// SetUpstreams replaces the upstreams that take calls. What is known of those that
// stay is kept.
func (q *Queue[T]) SetUpstreams(us []fleet.Upstream) {
	live := make(map[wire.UpstreamID]bool, len(us))
	for _, u := range us {
		live[u.ID] = true
		if q.upstreams[u.ID] == nil {
			q.upstreams[u.ID] = &upstream{centre: u.Centre, results: make(map[fleet.Handle]storedResult)}
		}
	}
	for id := range q.upstreams {
		if !live[id] {
			delete(q.upstreams, id)
		}
	}
}

// Push adds pieces. It adds none and returns false if the queue is full.
func (q *Queue[T]) Push(now time.Time, ps ...Piece[T]) bool {
	if len(q.waiting)+len(ps) > maxPieces {
		return false
	}
	for _, p := range ps {
		p.queuedAt = now
		q.lastSeq++
		p.seq = q.lastSeq
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
	late = q.removeExpired(now)
	w := q.upstreams[id]
	switch {
	case w == nil || len(q.waiting) == 0 || w.inFlight >= max(q.calls.Slots, 1):
		return nil, late, maxPollInterval
	case now.Before(w.backoffUntil):
		return nil, late, min(w.backoffUntil.Sub(now), maxPollInterval)
	}
	if slow := q.slowThreshold(); w.slowdown > slow && len(q.waiting) <= q.calls.MaxBatch*q.countOtherFast(now, w, slow) {
		return nil, late, maxPollInterval
	}
	w.expireResults(now)
	chosen, wait := q.selectPieces(now, w, q.room(now, w))
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
	w.inFlight++
	w.lastStart = now
	w.lastPieces = len(ps)
	return ps, late, 0
}

// room is what the upstream can keep beside the results that it keeps and makes.
func (q *Queue[T]) room(now time.Time, w *upstream) fleet.Bytes {
	most := q.calls.ResultCapacity * maxRoomPercent / 100
	if now.Before(w.noRoomUntil) {
		most = min(most, w.noRoomLimit)
	}
	return most - w.used - w.reserved
}

// selectPieces returns up to a batch of pieces that fit into room and that the data
// centre of w may make now. Bulky pieces of other data centres come last, unless
// theirs has more to do.
func (q *Queue[T]) selectPieces(now time.Time, w *upstream, room fleet.Bytes) (chosen []*Piece[T], wait time.Duration) {
	q.sortWaiting(now, w)
	wait = maxPollInterval
	serving := q.availableByCentre(now)
	depth := q.depthByCentre(serving)
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
		if p.Centre == w.centre || p.Moved < localityThreshold {
			take(p)
			continue
		}
		next := ahead[p.Centre] < q.calls.MaxBatch*serving[p.Centre]
		ahead[p.Centre]++
		if d := q.localWait(now, w, p); next && d > 0 {
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

// depthByCentre returns the bulky pieces that wait in each data centre for each of its
// upstreams that serve; where none does, it is infinite.
func (q *Queue[T]) depthByCentre(serving map[wire.DataCentreID]int) map[wire.DataCentreID]float64 {
	d := make(map[wire.DataCentreID]float64)
	for _, p := range q.waiting {
		if p.Moved >= localityThreshold {
			d[p.Centre]++
		}
	}
	for c := range d {
		d[c] /= float64(serving[c])
	}
	return d
}

// localWait returns how long a piece whose turn comes with the next calls of its own data
// centre still waits for one of them.
func (q *Queue[T]) localWait(now time.Time, w *upstream, p *Piece[T]) time.Duration {
	patience := min(q.calls.CallOverhead, max(p.Aim.Sub(now)-2*q.callTime(w, q.calls.MaxBatch), 0))
	return patience - now.Sub(p.queuedAt)
}

// availableByCentre counts the upstreams of each data centre that can take calls.
func (q *Queue[T]) availableByCentre(now time.Time) map[wire.DataCentreID]int {
	n := make(map[wire.DataCentreID]int)
	for _, w := range q.upstreams {
		if !now.Before(w.backoffUntil) {
			n[w.centre]++
		}
	}
	return n
}

// sortWaiting orders the waiting pieces for w: those that it can still make in time go by
// their aim, the others after them by rank and age.
func (q *Queue[T]) sortWaiting(now time.Time, w *upstream) {
	done := now.Add(q.callTime(w, min(len(q.waiting), q.calls.MaxBatch)))
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
			return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Aim.Compare(b.Aim), cmp.Compare(a.seq, b.seq))
		}
		return cmp.Or(a.Aim.Compare(b.Aim), cmp.Compare(a.seq, b.seq))
	})
}

// removeExpired removes the pieces whose results would come too late.
func (q *Queue[T]) removeExpired(now time.Time) (late []Piece[T]) {
	least := q.calls.ExpectedTime(1)
	q.waiting = slices.DeleteFunc(q.waiting, func(p *Piece[T]) bool {
		if now.Add(least).Before(p.Deadline) {
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
	Results  map[fleet.Handle]fleet.Bytes // the results that are kept
	Failed   bool                         // the call as a whole failed
	Timeout  bool                         // no answer came within Limit
	Full     bool                         // the upstream had no place for the call
	NoRoom   bool                         // pieces were not made because it can't keep more results
}

// Done records the end of a call at an upstream.
func (q *Queue[T]) Done(now time.Time, id wire.UpstreamID, r Result) {
	w := q.upstreams[id]
	if w == nil {
		return
	}
	w.inFlight--
	w.reserved -= r.Reserved
	for h, size := range r.Results {
		w.results[h] = storedResult{size, now.Add(q.calls.ResultTTL)}
		w.used += size
	}
	if r.NoRoom {
		w.noRoomLimit = w.used
		w.noRoomUntil = now.Add(noRoomInterval)
	}
	if r.Full {
		// A place becomes free when a call ends, which says nothing of failures.
		w.backoffUntil = now.Add(q.calls.CallOverhead)
		return
	}
	sample := float64(now.Sub(w.lastStart)) / float64(q.calls.ExpectedTime(w.lastPieces))
	if r.Timeout {
		// The upstream may have become slower, and gets more time for its next call.
		if w.slowdownBeforeTimeout == 0 {
			w.slowdownBeforeTimeout = w.slowdown
		}
		w.slowdown = max(w.slowdown, sample)
	}
	if r.Failed || r.NoRoom && len(r.Results) == 0 {
		w.backoff = min(max(2*w.backoff, backoffMin), backoffMax)
		w.backoffUntil = now.Add(w.backoff)
		return
	}
	w.backoff = 0
	if sample < (w.slowdownBeforeTimeout+w.slowdown)/2 {
		w.slowdown = w.slowdownBeforeTimeout // only the answer was lost
	}
	w.slowdownBeforeTimeout = 0
	if w.slowdown == 0 {
		w.slowdown = sample
	}
	w.slowdown += slowdownWeight * (sample - w.slowdown)
}

// Free records that results are no longer kept. It returns those of each upstream,
// and those that the queue doesn't know: they were made for another owner of it.
func (q *Queue[T]) Free(hs []fleet.Handle) (known map[wire.UpstreamID][]fleet.Handle, unknown []fleet.Handle) {
	known = make(map[wire.UpstreamID][]fleet.Handle)
	for _, h := range hs {
		id, ok := q.holder(h)
		if !ok {
			unknown = append(unknown, h)
			continue
		}
		w := q.upstreams[id]
		w.used -= w.results[h].size
		delete(w.results, h)
		known[id] = append(known[id], h)
	}
	return known, unknown
}

func (q *Queue[T]) holder(h fleet.Handle) (wire.UpstreamID, bool) {
	for id, w := range q.upstreams {
		if _, ok := w.results[h]; ok {
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
	slow := q.slowThreshold()
	for _, w := range q.upstreams {
		if now.Before(w.backoffUntil) || w.slowdown > slow {
			continue
		}
		able++
		pace += max(w.slowdown, 1)
		if left := w.remaining(now, &q.calls); soonest < 0 || left < soonest {
			soonest = left
		}
	}
	if able == 0 {
		return 0, len(q.upstreams) > 0
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
	for _, w := range q.upstreams {
		if now.Before(w.backoffUntil) {
			continue
		}
		rate += float64(q.calls.MaxBatch) / q.callTime(w, q.calls.MaxBatch).Seconds()
	}
	return rate
}

// remaining is the expected time until the worker's call ends.
func (w *upstream) remaining(now time.Time, c *fleet.StageCalls) time.Duration {
	if w.inFlight == 0 {
		return 0
	}
	took := time.Duration(float64(c.ExpectedTime(w.lastPieces)) * max(w.slowdown, 1))
	return max(took-now.Sub(w.lastStart), 0)
}

// callTime is the expected time of a call with n pieces at w.
func (q *Queue[T]) callTime(w *upstream, n int) time.Duration {
	return time.Duration(float64(q.calls.ExpectedTime(n)) * max(w.slowdown, 1))
}

// CallTimeout returns the time after which a call with n pieces at an upstream counts as
// lost.
func (q *Queue[T]) CallTimeout(id wire.UpstreamID, n int) time.Duration {
	w := q.upstreams[id]
	if w == nil {
		return callTimeoutMargin
	}
	return q.callTime(w, n) + q.calls.ExpectedTime(q.calls.MaxBatch) + callTimeoutMargin
}

// callTimeoutMargin is the time beyond its own and that of one full call of another router
// before it after which a call has lost its answer or met an upstream that hangs. Its
// pieces are made elsewhere then.
const callTimeoutMargin = 100 * time.Millisecond

// slowThreshold returns the pace over which an upstream only gets what the others can't take.
func (q *Queue[T]) slowThreshold() float64 {
	best := 0.0
	for _, w := range q.upstreams {
		if w.slowdown > 0 && (best == 0 || w.slowdown < best) {
			best = w.slowdown
		}
	}
	return slowRatio * max(best, 1)
}

// countOtherFast counts the other upstreams that are not slow and can take calls.
func (q *Queue[T]) countOtherFast(now time.Time, than *upstream, slow float64) (n int) {
	for _, w := range q.upstreams {
		if w != than && w.slowdown <= slow && !now.Before(w.backoffUntil) {
			n++
		}
	}
	return n
}

func (w *upstream) expireResults(now time.Time) {
	for h, k := range w.results {
		if now.After(k.expires) {
			w.used -= k.size
			delete(w.results, h)
		}
	}
}

// View describes the queue for the state dump.
type View struct {
	Waiting   int                              `json:"waiting"`
	Upstreams map[wire.UpstreamID]UpstreamView `json:"workers"`
}

// UpstreamView describes one upstream of a queue.
type UpstreamView struct {
	InFlight int         `json:"flight"`
	Used     fleet.Bytes `json:"used"`
	Reserved fleet.Bytes `json:"reserved"`
	Slowdown float64     `json:"pace"`
}

// View returns the current state.
func (q *Queue[T]) View() View {
	v := View{len(q.waiting), make(map[wire.UpstreamID]UpstreamView, len(q.upstreams))}
	for id, w := range q.upstreams {
		v.Upstreams[id] = UpstreamView{w.inFlight, w.used, w.reserved, w.slowdown}
	}
	return v
}
