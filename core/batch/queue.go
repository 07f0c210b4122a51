// Package batch groups pieces of work from many requests into shared calls to the
// upstreams of a stage service. Each call has a fixed cost, so pieces that wait while
// all upstreams are busy are sent together. It does no I/O.
//
// It is designed for bursts of load on one pipeline: pieces that can still be on time
// go before those that can't, a result is made in the data centre that reads it if
// that costs little time, and no upstream is asked to keep more results than it has
// room for.
package batch

import (
	"cmp"
	"slices"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const (
	// maxPieces limits the pieces that wait for one service.
	maxPieces = 8192
	// localityThreshold is the transfer size from which the queue prefers upstreams in
	// the data centre that reads the result. Moving fewer bytes costs less than making
	// a call early.
	localityThreshold fleet.Bytes = 256 << 10
	// maxRoomPercent is the percentage of an upstream's room that is used. The rest is
	// a margin, since the sizes of results are approximate.
	maxRoomPercent = 92
	// noRoomInterval is how long an upstream that reported no room is limited to the
	// bytes of results that it kept at that time.
	noRoomInterval = 500 * time.Millisecond
	// slowRatio is how many times slower than the fastest upstream an upstream may be
	// before it gets only the pieces that the others can't take.
	slowRatio = 1.7
	// slowdownWeight is the weight of a new sample in an upstream's moving average.
	slowdownWeight = 0.3
	// backoffMin and backoffMax limit the exponential back-off after consecutive failed
	// calls to an upstream. The first is short, since an upstream that loses some of
	// its answers still makes most results.
	backoffMin = 50 * time.Millisecond
	backoffMax = 3 * time.Second
	// maxPollInterval limits the time until Next should be called again.
	maxPollInterval = 50 * time.Millisecond
)

// Piece is one unit of stage work.
type Piece[T any] struct {
	Value    T
	Centre   wire.DataCentreID // data centre that reads the result
	Size     fleet.Bytes       // approximate size of the result
	Moved    fleet.Bytes       // bytes sent between data centres if it is made outside Centre
	Rank     int               // 0 is the most urgent
	Aim      time.Time         // latest time at which the result still earns full credit
	Deadline time.Time         // time after which the result is useless

	queuedAt time.Time
	seq      uint64
}

// Queue holds the pieces that wait for one service and the state of its upstreams.
// It is not safe for concurrent use.
type Queue[T any] struct {
	calls     fleet.StageCalls
	waiting   []*Piece[T]
	upstreams map[wire.UpstreamID]*upstream
	lastSeq   uint64
}

// upstream is what the queue knows about one upstream.
type upstream struct {
	centre     wire.DataCentreID
	inFlight   int         // calls in flight
	lastStart  time.Time   // start of the last call
	lastPieces int         // number of pieces in the last call
	reserved   fleet.Bytes // sizes of the results of calls in flight
	results    map[fleet.Handle]storedResult
	used       fleet.Bytes // sizes of the stored results
	// noRoomLimit is the value of used when the upstream last reported no room. It
	// limits the room until noRoomUntil, since the upstream may keep results that this
	// queue doesn't know of.
	noRoomLimit fleet.Bytes
	noRoomUntil time.Time
	slowdown    float64 // moving average of actual over expected call time; 0 before the first call
	// slowdownBeforeTimeout is the slowdown before the calls that timed out since the
	// last success; 0 if there are none.
	slowdownBeforeTimeout float64
	backoff               time.Duration
	backoffUntil          time.Time
}

// storedResult is a result that an upstream keeps.
type storedResult struct {
	size    fleet.Bytes
	expires time.Time
}

// New returns an empty queue without upstreams for a service whose calls c describes.
func New[T any](c fleet.StageCalls) *Queue[T] {
	return &Queue[T]{calls: c, upstreams: make(map[wire.UpstreamID]*upstream)}
}

// SetCalls replaces the description of the service's calls.
func (q *Queue[T]) SetCalls(c fleet.StageCalls) { q.calls = c }

// SetUpstreams replaces the upstreams that take calls. Upstreams that remain keep
// their state.
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

// Push adds pieces. If not all of them fit, it adds none and returns false.
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

// Remove removes the waiting pieces that match and returns their number.
func (q *Queue[T]) Remove(match func(T) bool) int {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(p *Piece[T]) bool { return match(p.Value) })
	return before - len(q.waiting)
}

// Len returns the number of waiting pieces.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Next removes and returns the pieces of the next call to an upstream, most urgent
// first. If there are none, wait is the time after which to call Next again unless
// pieces are pushed before. late holds the pieces that can't be made before their
// deadline; they are removed too.
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

// room returns how many more bytes of results the upstream can keep, beside those that
// it keeps already or is making.
func (q *Queue[T]) room(now time.Time, w *upstream) fleet.Bytes {
	most := q.calls.ResultCapacity * maxRoomPercent / 100
	if now.Before(w.noRoomUntil) {
		most = min(most, w.noRoomLimit)
	}
	return most - w.used - w.reserved
}

// selectPieces returns up to a batch of pieces that fit into room and that w may make
// now. Large pieces (of at least localityThreshold) of other data centres wait for an
// upstream of their own for a while. After that they come last, unless their data
// centre has a backlog that is longer by more than a batch per upstream.
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

// depthByCentre returns the number of large pieces that wait in each data centre,
// divided by its available upstreams. It is infinite if none is available.
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

// localWait returns how long a piece that would be in the next calls of its own data
// centre should still wait for one of them. It is negative if the piece has waited for
// longer.
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

// sortWaiting orders the waiting pieces for w: first those that it can make before their
// aim, by aim, then the others, by rank, aim and age.
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

// removeExpired removes and returns the pieces that can't be made before their deadline.
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

// CallOutcome describes the end of one call.
type CallOutcome struct {
	Reserved fleet.Bytes                  // sum of the sizes of all pieces of the call
	Results  map[fleet.Handle]fleet.Bytes // sizes of the results that the upstream keeps
	Failed   bool                         // the call as a whole failed
	Timeout  bool                         // no answer came within CallTimeout
	Full     bool                         // the upstream rejected the call because all its places were taken
	NoRoom   bool                         // some pieces were not made because the upstream can't keep more results
}

// Done records the end of a call at an upstream.
func (q *Queue[T]) Done(now time.Time, id wire.UpstreamID, r CallOutcome) {
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
		// This is no failure: a place becomes free when another call ends, so there is
		// no exponential back-off.
		w.backoffUntil = now.Add(q.calls.CallOverhead)
		return
	}
	sample := float64(now.Sub(w.lastStart)) / float64(q.calls.ExpectedTime(w.lastPieces))
	if r.Timeout {
		// The upstream may have become slower, so its next call gets more time.
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
		w.slowdown = w.slowdownBeforeTimeout // only answers were lost, the upstream is as fast as before
	}
	w.slowdownBeforeTimeout = 0
	if w.slowdown == 0 {
		w.slowdown = sample
	}
	w.slowdown += slowdownWeight * (sample - w.slowdown)
}

// Free records that results are no longer needed. It returns them by the upstream that
// keeps them, and separately those that the queue doesn't know because they were made
// for another owner of the queue.
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

// holder returns the upstream that keeps the result h.
func (q *Queue[T]) holder(h fleet.Handle) (wire.UpstreamID, bool) {
	for id, w := range q.upstreams {
		if _, ok := w.results[h]; ok {
			return id, true
		}
	}
	return "", false
}

// Estimate returns the expected time until n more pieces with the given aim would be
// made. If all upstreams are backing off or slow, d is 0; ok is false only if the queue
// has no upstreams.
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

// Rate returns the capacity of the service in pieces per second: what the upstreams that
// aren't backing off make in full calls.
func (q *Queue[T]) Rate(now time.Time) (rate float64) {
	for _, w := range q.upstreams {
		if now.Before(w.backoffUntil) {
			continue
		}
		rate += float64(q.calls.MaxBatch) / q.callTime(w, q.calls.MaxBatch).Seconds()
	}
	return rate
}

// remaining returns the expected time until the last call to w ends, 0 if w is idle.
func (w *upstream) remaining(now time.Time, c *fleet.StageCalls) time.Duration {
	if w.inFlight == 0 {
		return 0
	}
	took := time.Duration(float64(c.ExpectedTime(w.lastPieces)) * max(w.slowdown, 1))
	return max(took-now.Sub(w.lastStart), 0)
}

// callTime returns the expected time of a call with n pieces at w.
func (q *Queue[T]) callTime(w *upstream, n int) time.Duration {
	return time.Duration(float64(q.calls.ExpectedTime(n)) * max(w.slowdown, 1))
}

// CallTimeout returns the time after which a call with n pieces to an upstream counts
// as lost.
func (q *Queue[T]) CallTimeout(id wire.UpstreamID, n int) time.Duration {
	w := q.upstreams[id]
	if w == nil {
		return callTimeoutMargin
	}
	return q.callTime(w, n) + q.calls.ExpectedTime(q.calls.MaxBatch) + callTimeoutMargin
}

// callTimeoutMargin is added to the expected time of a call and of one full call of
// another router ahead of it. After that, the answer is lost or the upstream hangs, and
// the pieces are made elsewhere.
const callTimeoutMargin = 100 * time.Millisecond

// slowThreshold returns the slowdown above which an upstream gets only the pieces that
// the others can't take.
func (q *Queue[T]) slowThreshold() float64 {
	best := 0.0
	for _, w := range q.upstreams {
		if w.slowdown > 0 && (best == 0 || w.slowdown < best) {
			best = w.slowdown
		}
	}
	return slowRatio * max(best, 1)
}

// countOtherFast counts the upstreams other than the given one that are at most as slow
// as the threshold and can take calls.
func (q *Queue[T]) countOtherFast(now time.Time, than *upstream, slow float64) (n int) {
	for _, w := range q.upstreams {
		if w != than && w.slowdown <= slow && !now.Before(w.backoffUntil) {
			n++
		}
	}
	return n
}

// expireResults forgets the results that the upstream no longer keeps.
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

// UpstreamView describes one upstream of a queue for the state dump.
type UpstreamView struct {
	InFlight int         `json:"flight"`
	Used     fleet.Bytes `json:"used"`
	Reserved fleet.Bytes `json:"reserved"`
	Slowdown float64     `json:"pace"`
}

// View returns the current state of the queue and its upstreams.
func (q *Queue[T]) View() View {
	v := View{len(q.waiting), make(map[wire.UpstreamID]UpstreamView, len(q.upstreams))}
	for id, w := range q.upstreams {
		v.Upstreams[id] = UpstreamView{w.inFlight, w.used, w.reserved, w.slowdown}
	}
	return v
}
