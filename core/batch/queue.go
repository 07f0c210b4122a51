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
	"math"
	"slices"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

const (
	// maxPieces limits the pieces that wait for one service.
	maxPieces = 8192
	// LocalityThreshold is the transfer size from which the queue prefers upstreams in
	// the data centre that reads the result. Transferring fewer bytes costs less than
	// starting a call before its batch is full.
	LocalityThreshold fleet.Bytes = 256 << 10
	// maxRoomPercent is the percentage of ResultCapacity that is used. The rest is
	// margin, since the sizes of results are approximate.
	maxRoomPercent = 92
	// noRoomInterval is how long an upstream that reported no room is limited to the
	// bytes of results that it kept at that time.
	noRoomInterval = 500 * time.Millisecond
	// slowRatio is how many times slower than the fastest upstream an upstream may be
	// before it gets only the pieces that the others can't take.
	slowRatio = 1.7
	// slowdownWeight is the weight of a new sample in the moving average of an
	// upstream's slowdown.
	slowdownWeight = 0.3
	// backoffMin and backoffMax limit the exponential back-off after consecutive failed
	// calls to an upstream. The minimum is short, since an upstream that loses some of
	// its answers still makes most results.
	backoffMin = 50 * time.Millisecond
	backoffMax = 3 * time.Second
	// ResumedShare is the share of the places in calls up to which pieces of streams that
	// callers take up again go before all others. It leaves the other half to new requests,
	// however many streams are taken up.
	ResumedShare = 0.5
	// agedShare is the share of the places in calls up to which pieces that have aged go before more
	// urgent ones that can still be on time: enough that nothing is passed over for as long as
	// there is a shortage.
	agedShare = 0.05
	// goldenRatio spreads its multiples modulo 1 evenly. Pieces that are pushed together have the same
	// one, since a request needs all of them.
	goldenRatio = 0.6180339887498949
	// maxPollInterval limits the time until Next should be called again.
	maxPollInterval = 50 * time.Millisecond
)

// Piece is one unit of stage work.
type Piece[T any] struct {
	Value    T
	Centre   wire.DataCentreID // data centre that reads the result
	Size     fleet.Bytes       // approximate size of the result
	Moved    fleet.Bytes       // bytes sent between data centres if the piece is made outside Centre
	Rank     int               // 0 is the most urgent
	Aim      time.Time         // target time: the latest at which the result still earns full credit
	Deadline time.Time         // time after which the result is useless
	Late     bool              // whether the piece yields to all that can be made before their aim
	Resumed  bool              // whether the piece is for a stream that its caller takes up again
	Ages     bool              // whether the piece may go first when it has waited for half of its time
	Team     wire.TeamID       // team of the request, empty if it has none

	queuedAt time.Time
	seq      uint64
	push     uint64    // number of the call to Push
	first    bool      // whether the piece goes before all others in the next call
	over     bool      // whether it exceeds its team's share, as of the last sortWaiting
	turn     time.Time // aim by which it is ordered, as of the last sortWaiting
}

// hasPriority reports whether the piece may go before all others, within ResumedShare.
func (p *Piece[T]) hasPriority() bool { return p.Resumed && !p.Late }

// hasAged reports whether the piece has missed its aim and waited for half of its time.
func (p *Piece[T]) hasAged(now time.Time) bool {
	return p.Ages && now.After(p.Aim) && now.Sub(p.queuedAt) >= p.Deadline.Sub(p.queuedAt)/2
}

// Queue holds the pieces that wait for one service and the state of its upstreams.
// It is not safe for concurrent use.
type Queue[T any] struct {
	calls     fleet.StageCalls
	waiting   []*Piece[T]
	upstreams map[wire.UpstreamID]*upstream
	// departed holds the upstreams that take no more calls but still have some in flight.
	departed map[wire.UpstreamID]*upstream
	lastSeq  uint64
	lastPush uint64
	late     int                   // waiting pieces that yield to the others
	resumed  int                   // waiting pieces that have priority
	byRank   [fleet.RankLevels]int // waiting pieces that don't yield
	// resumedDebt is the number of places that pieces with priority took beyond ResumedShare.
	resumedDebt float64
	// agedDebt is the number of places that pieces which have aged took beyond agedShare.
	agedDebt float64

	made         float64 // pieces per second that calls made lately, as of madeAt
	madeAt       time.Time
	backlogSince time.Time // when the waiting pieces began to be more than the upstreams' next calls take, zero if they aren't
	overShare    func(time.Time, int, wire.TeamID) float64
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
	// last success, 1 if no call had been answered; 0 if there are none.
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
	return &Queue[T]{calls: c, upstreams: make(map[wire.UpstreamID]*upstream), departed: make(map[wire.UpstreamID]*upstream)}
}

// SetCalls replaces the description of the service's calls.
func (q *Queue[T]) SetCalls(c fleet.StageCalls) { q.calls = c }

// SetOverShare sets the function that says by what ratio a team's requests of a rank ask for more
// than their share of the service, 0 if they don't. Without it, none do.
func (q *Queue[T]) SetOverShare(ratio func(now time.Time, rank int, team wire.TeamID) float64) {
	q.overShare = ratio
}

// SetUpstreams replaces the upstreams that take calls. Upstreams that remain keep
// their state, and so do those that come back while a call is in flight.
func (q *Queue[T]) SetUpstreams(us []fleet.Upstream) {
	live := make(map[wire.UpstreamID]bool, len(us))
	for _, u := range us {
		live[u.ID] = true
		if q.upstreams[u.ID] != nil {
			continue
		}
		old := q.departed[u.ID]
		if old == nil {
			old = &upstream{centre: u.Centre, results: make(map[fleet.Handle]storedResult)}
		}
		q.upstreams[u.ID] = old
		delete(q.departed, u.ID)
	}
	for id, u := range q.upstreams {
		if live[id] {
			continue
		}
		delete(q.upstreams, id)
		if u.inFlight > 0 {
			q.departed[id] = u
		}
	}
}

// Push adds pieces. If not all of them fit, it adds none and returns false.
func (q *Queue[T]) Push(now time.Time, ps ...Piece[T]) bool {
	if len(q.waiting)+len(ps) > maxPieces {
		return false
	}
	q.lastPush++
	for _, p := range ps {
		p.queuedAt = now
		q.lastSeq++
		p.seq, p.push = q.lastSeq, q.lastPush
		q.waiting = append(q.waiting, &p)
		q.count(&p, 1)
	}
	return true
}

// count adds n to the counts of waiting pieces that p belongs to.
func (q *Queue[T]) count(p *Piece[T], n int) {
	if p.Late {
		q.late += n
	} else {
		q.byRank[fleet.RankLevel(p.Rank)] += n
	}
	if p.hasPriority() {
		q.resumed += n
	}
}

// Remove removes the waiting pieces that match and returns their number.
func (q *Queue[T]) Remove(match func(T) bool) int {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(p *Piece[T]) bool {
		if !match(p.Value) {
			return false
		}
		q.count(p, -1)
		return true
	})
	return before - len(q.waiting)
}

// Len returns the number of waiting pieces.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// CountLate returns the number of waiting pieces that yield to the others.
func (q *Queue[T]) CountLate() int { return q.late }

// CountResumed returns the number of waiting pieces of streams that callers take up again,
// without those that yield to the others.
func (q *Queue[T]) CountResumed() int { return q.resumed }

// CountByRank returns the number of waiting pieces that don't yield, by fleet.RankLevel.
func (q *Queue[T]) CountByRank() [fleet.RankLevels]int { return q.byRank }

// Next removes and returns the pieces of the next call to an upstream, most urgent
// first. If there are none, wait is the time after which to call Next again unless
// pieces are pushed before. expired holds the pieces that can't be made before their
// deadline; they are removed too.
func (q *Queue[T]) Next(now time.Time, id wire.UpstreamID) (ps []Piece[T], expired []Piece[T], wait time.Duration) {
	expired = q.removeExpired(now)
	q.recordBacklog(now)
	u := q.upstreams[id]
	switch {
	case u == nil || len(q.waiting) == 0 || q.isBusy(u):
		return nil, expired, maxPollInterval
	case now.Before(u.backoffUntil):
		return nil, expired, min(u.backoffUntil.Sub(now), maxPollInterval)
	}
	if threshold := q.slowThreshold(); u.slowdown > threshold && len(q.waiting) <= q.calls.MaxBatch*q.countOtherFast(now, u, threshold) {
		return nil, expired, maxPollInterval
	}
	u.expireResults(now)
	selected, wait := q.selectPieces(now, u, q.room(now, u))
	if len(selected) == 0 {
		return nil, expired, wait
	}
	if allLate(selected) && !q.otherIdle(now, u) {
		return nil, expired, maxPollInterval
	}
	taken := make(map[*Piece[T]]bool, len(selected))
	q.resumedDebt = max(q.resumedDebt-ResumedShare*float64(q.calls.MaxBatch), 0)
	q.agedDebt = max(q.agedDebt-agedShare*float64(q.calls.MaxBatch), 0)
	for _, p := range selected {
		switch {
		case p.first && p.hasPriority():
			q.resumedDebt++
		case p.first:
			q.agedDebt++
		}
		taken[p] = true
		u.reserved += p.Size
		ps = append(ps, *p)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(p *Piece[T]) bool {
		if taken[p] {
			q.count(p, -1)
		}
		return taken[p]
	})
	u.inFlight++
	u.lastStart = now
	u.lastPieces = len(ps)
	return ps, expired, 0
}

// Slots returns the number of calls that an upstream works on at a time.
func (q *Queue[T]) Slots() int { return max(q.calls.Slots, 1) }

// isBusy reports whether all slots of an upstream are taken by calls of this queue.
func (q *Queue[T]) isBusy(u *upstream) bool { return u.inFlight >= q.Slots() }

// allLate reports whether all pieces yield to others.
func allLate[T any](ps []*Piece[T]) bool {
	return !slices.ContainsFunc(ps, func(p *Piece[T]) bool { return !p.Late })
}

// otherIdle reports whether an upstream other than u could start a call at once, or whether
// there is no other. A call of late pieces alone waits for that, so that pieces that may
// still be on time need not wait for its end.
func (q *Queue[T]) otherIdle(now time.Time, u *upstream) bool {
	for _, other := range q.upstreams {
		if other != u && !q.isBusy(other) && !now.Before(other.backoffUntil) {
			return true
		}
	}
	return len(q.upstreams) == 1
}

// room returns how many more bytes of results the upstream can keep, beside those that
// it keeps already or is making.
func (q *Queue[T]) room(now time.Time, u *upstream) fleet.Bytes {
	limit := q.calls.ResultCapacity * maxRoomPercent / 100
	if now.Before(u.noRoomUntil) {
		limit = min(limit, u.noRoomLimit)
	}
	return limit - u.used - u.reserved
}

// selectPieces returns up to a batch of pieces that fit into room and that u may make
// now. Pieces of other data centres that transfer at least LocalityThreshold are left to
// their own data centre for localWait if they would be in the next calls of its available
// upstreams. Otherwise they are taken last, or in their usual order if the backlog per
// upstream of their data centre is longer than that of u's by more than a batch. wait is
// the time until the first localWait ends, at most maxPollInterval.
func (q *Queue[T]) selectPieces(now time.Time, u *upstream, room fleet.Bytes) (selected []*Piece[T], wait time.Duration) {
	q.sortWaiting(now, u)
	wait = maxPollInterval
	available := q.availableByCentre(now)
	depth := q.depthByCentre(available)
	ahead := make(map[wire.DataCentreID]int)
	var remote []*Piece[T]
	take := func(p *Piece[T]) {
		if len(selected) < q.calls.MaxBatch && p.Size <= room {
			room -= p.Size
			selected = append(selected, p)
		}
	}
	for _, p := range q.waiting {
		if len(selected) == q.calls.MaxBatch {
			break
		}
		if p.Centre == u.centre || p.Moved < LocalityThreshold {
			take(p)
			continue
		}
		inNextCalls := ahead[p.Centre] < q.calls.MaxBatch*available[p.Centre]
		ahead[p.Centre]++
		if d := q.localWait(now, u, p); inNextCalls && d > 0 {
			wait = min(wait, d)
			continue
		}
		if depth[p.Centre] > depth[u.centre]+float64(q.calls.MaxBatch) {
			take(p)
			continue
		}
		remote = append(remote, p)
	}
	for _, p := range remote {
		take(p)
	}
	return selected, wait
}

// depthByCentre returns the number of waiting pieces of each data centre that transfer
// at least LocalityThreshold, divided by its available upstreams. It is infinite if none
// is available.
func (q *Queue[T]) depthByCentre(available map[wire.DataCentreID]int) map[wire.DataCentreID]float64 {
	d := make(map[wire.DataCentreID]float64)
	for _, p := range q.waiting {
		if p.Moved >= LocalityThreshold {
			d[p.Centre]++
		}
	}
	for c := range d {
		d[c] /= float64(available[c])
	}
	return d
}

// localWait returns how much longer a piece should wait for a call of its own data centre
// before u may take it. It is at most 0 if the piece has waited long enough. The total
// wait is at most CallOverhead and leaves time for two full calls before the aim.
func (q *Queue[T]) localWait(now time.Time, u *upstream, p *Piece[T]) time.Duration {
	maxWait := min(q.calls.CallOverhead, max(p.Aim.Sub(now)-2*q.callTime(u, q.calls.MaxBatch), 0))
	return maxWait - now.Sub(p.queuedAt)
}

// availableByCentre counts the upstreams of each data centre that aren't backing off.
func (q *Queue[T]) availableByCentre(now time.Time) map[wire.DataCentreID]int {
	n := make(map[wire.DataCentreID]int)
	for _, u := range q.upstreams {
		if !now.Before(u.backoffUntil) {
			n[u.centre]++
		}
	}
	return n
}

// markFirst marks the pieces that go before all others in the next call: as many of those
// with priority as ResumedShare allows, by aim, and the most urgent of those that have aged, the
// first to be pushed among them, if none that can be on time is more urgent or agedShare allows it.
func (q *Queue[T]) markFirst(now time.Time) {
	var ps []*Piece[T]
	var oldest *Piece[T]
	urgent := math.MaxInt // rank of the most urgent piece that can be on time
	for _, p := range q.waiting {
		if !p.Late && p.Aim.After(now) {
			urgent = min(urgent, p.Rank)
		}
		if p.first = false; p.hasPriority() {
			ps = append(ps, p)
		}
		if p.hasAged(now) && (oldest == nil || cmp.Or(cmp.Compare(p.Rank, oldest.Rank), cmp.Compare(p.seq, oldest.seq)) < 0) {
			oldest = p
		}
	}
	if oldest != nil && (oldest.Rank <= urgent || q.agedDebt <= 0) {
		oldest.first = true
	}
	slices.SortFunc(ps, func(a, b *Piece[T]) int { return cmp.Or(a.Aim.Compare(b.Aim), cmp.Compare(a.seq, b.seq)) })
	for _, p := range ps[:min(len(ps), max(q.calls.MaxBatch-int(math.Ceil(q.resumedDebt)), 0))] {
		p.first = true
	}
}

// Classes of waiting pieces, in the order in which they are made.
const (
	classFirst  = iota // marked by markFirst
	classOnTime        // can be made before their aim and don't yield
	classLate
)

// sortWaiting orders the waiting pieces for u by class, those that can be on time by aim, and
// the late ones by rank, aim and age. If not all of a class can be on time, pieces that exceed
// the share of their team come after the others of the same rank.
func (q *Queue[T]) sortWaiting(now time.Time, u *upstream) {
	q.markFirst(now)
	end := now.Add(q.callTime(u, min(len(q.waiting), q.calls.MaxBatch)))
	class := func(p *Piece[T]) int {
		if p.first {
			return classFirst
		}
		if p.Late || end.After(p.Aim) {
			return classLate
		}
		return classOnTime
	}
	anyOver := q.markOver(now)
	q.sortByTurn(class)
	if anyOver && !q.allOnTime(now, u, class) {
		q.delayOver(class)
		q.sortByTurn(class)
	}
}

// sortByTurn orders the waiting pieces by class and turn.
func (q *Queue[T]) sortByTurn(class func(*Piece[T]) int) {
	overLast := func(a, b *Piece[T]) int {
		switch {
		case a.over == b.over:
			return 0
		case a.over:
			return 1
		}
		return -1
	}
	slices.SortFunc(q.waiting, func(a, b *Piece[T]) int {
		aClass, bClass := class(a), class(b)
		switch {
		case aClass != bClass:
			return aClass - bClass
		case aClass == classLate:
			return cmp.Or(cmp.Compare(a.Rank, b.Rank), overLast(a, b), a.Aim.Compare(b.Aim), cmp.Compare(a.seq, b.seq))
		}
		return cmp.Or(a.turn.Compare(b.turn), overLast(a, b), a.Aim.Compare(b.Aim), cmp.Compare(a.seq, b.seq))
	})
}

// markOver marks, of the pieces of a team over its share, the part by which it exceeds it, sets
// each piece's turn to its aim, and reports whether it marked any. Streams that are taken up again
// have a share of their own.
func (q *Queue[T]) markOver(now time.Time) (marked bool) {
	for _, p := range q.waiting {
		p.turn = p.Aim
		p.over = false
		if q.overShare != nil && !p.Resumed {
			_, draw := math.Modf(float64(p.push) * goldenRatio)
			p.over = share.Exceeds(q.overShare(now, p.Rank, p.Team), draw)
			marked = marked || p.over
		}
	}
	return marked
}

// allOnTime reports whether the pieces that can be on time all are, in the order of their aims
// and if the upstreams in use are as fast as u.
func (q *Queue[T]) allOnTime(now time.Time, u *upstream, class func(*Piece[T]) int) bool {
	available := 0
	for _, other := range q.upstreams {
		if !now.Before(other.backoffUntil) {
			available++
		}
	}
	perRound := max(q.calls.MaxBatch*available, 1)
	round := q.callTime(u, q.calls.MaxBatch)
	for i, p := range q.waiting {
		if class(p) == classOnTime && now.Add(time.Duration(i/perRound+1)*round).After(p.Aim) {
			return false
		}
	}
	return true
}

// delayOver moves the turn of the marked pieces behind the last of the others of the same rank that
// can be on time. Pieces of other ranks keep their turns.
func (q *Queue[T]) delayOver(class func(*Piece[T]) int) {
	last := make(map[int]time.Time)
	for _, p := range q.waiting {
		if class(p) == classOnTime && !p.over && p.Aim.After(last[p.Rank]) {
			last[p.Rank] = p.Aim
		}
	}
	for _, p := range q.waiting {
		if p.over && last[p.Rank].After(p.turn) {
			p.turn = last[p.Rank]
		}
	}
}

// removeExpired removes and returns the pieces that can't be made before their deadline.
func (q *Queue[T]) removeExpired(now time.Time) (expired []Piece[T]) {
	minTime := q.calls.ExpectedTime(1)
	q.waiting = slices.DeleteFunc(q.waiting, func(p *Piece[T]) bool {
		if now.Add(minTime).Before(p.Deadline) {
			return false
		}
		expired = append(expired, *p)
		q.count(p, -1)
		return true
	})
	return expired
}

// CallOutcome describes the end of one call.
type CallOutcome struct {
	Reserved fleet.Bytes                  // sum of the sizes of all pieces of the call
	Results  map[fleet.Handle]fleet.Bytes // sizes of the results that the upstream keeps
	Failed   bool                         // the call as a whole failed
	Timeout  bool                         // no answer came within CallTimeout
	Full     bool                         // the upstream rejected the call because its slots and its queue were full
	NoRoom   bool                         // some pieces were not made because the upstream can't keep more results
}

// DoneLate records the answer to a call whose timeout Done has recorded. The upstream was
// silent for a time and takes calls again; how fast it is now, only its next call shows.
func (q *Queue[T]) DoneLate(now time.Time, id wire.UpstreamID, results map[fleet.Handle]fleet.Bytes) {
	u := q.upstreams[id]
	if u == nil {
		return
	}
	q.store(now, u, results)
	u.backoff, u.backoffUntil = 0, time.Time{}
}

// store records the results that an upstream keeps from now on.
func (q *Queue[T]) store(now time.Time, u *upstream, results map[fleet.Handle]fleet.Bytes) {
	for h, size := range results {
		u.results[h] = storedResult{size, now.Add(q.calls.ResultTTL)}
		u.used += size
	}
}

// Done records the end of a call at an upstream.
func (q *Queue[T]) Done(now time.Time, id wire.UpstreamID, outcome CallOutcome) {
	u := q.upstreams[id]
	if u == nil {
		if u = q.departed[id]; u == nil {
			return
		}
		if u.inFlight == 1 {
			delete(q.departed, id)
		}
	}
	u.inFlight--
	u.reserved -= outcome.Reserved
	q.store(now, u, outcome.Results)
	switch {
	case outcome.NoRoom:
		q.recordMade(now, len(outcome.Results))
	case !outcome.Failed && !outcome.Full:
		q.recordMade(now, u.lastPieces)
	}
	if outcome.NoRoom {
		u.noRoomLimit = u.used
		u.noRoomUntil = now.Add(noRoomInterval)
	}
	if outcome.Full {
		// A slot becomes free as soon as another call ends, so there is no exponential
		// back-off.
		u.backoffUntil = now.Add(q.calls.CallOverhead)
		return
	}
	sample := float64(now.Sub(u.lastStart)) / float64(q.calls.ExpectedTime(u.lastPieces))
	if outcome.Timeout {
		// The upstream may have become slower, so its next call gets more time.
		if u.slowdownBeforeTimeout == 0 {
			u.slowdownBeforeTimeout = cmp.Or(u.slowdown, 1)
		}
		u.slowdown = max(u.slowdown, sample)
	}
	if outcome.Failed || outcome.NoRoom && len(outcome.Results) == 0 {
		u.backoff = min(max(2*u.backoff, backoffMin), backoffMax)
		u.backoffUntil = now.Add(u.backoff)
		return
	}
	u.backoff = 0
	if sample < (u.slowdownBeforeTimeout+u.slowdown)/2 {
		u.slowdown = u.slowdownBeforeTimeout // only answers were lost, the upstream is as fast as before
	}
	u.slowdownBeforeTimeout = 0
	if u.slowdown == 0 {
		u.slowdown = sample
	}
	u.slowdown += slowdownWeight * (sample - u.slowdown)
}

// Free records that results are no longer needed. It returns them by the upstream that
// keeps them, and separately those that this queue doesn't know, for example because
// they were made while another router owned the queue of the service.
func (q *Queue[T]) Free(hs []fleet.Handle) (known map[wire.UpstreamID][]fleet.Handle, unknown []fleet.Handle) {
	known = make(map[wire.UpstreamID][]fleet.Handle)
	for _, h := range hs {
		id, ok := q.holder(h)
		if !ok {
			unknown = append(unknown, h)
			continue
		}
		u := q.upstreams[id]
		u.used -= u.results[h].size
		delete(u.results, h)
		known[id] = append(known[id], h)
	}
	return known, unknown
}

// ForgetResults forgets the results that the upstreams keep. A router that owns the queue again calls
// it, because those that were freed meanwhile were freed by other owners. An upstream that has no room
// says so.
func (q *Queue[T]) ForgetResults() {
	for _, u := range q.upstreams {
		clear(u.results)
		u.used, u.noRoomUntil = 0, time.Time{}
	}
}

// holder returns the upstream that keeps the result h.
func (q *Queue[T]) holder(h fleet.Handle) (wire.UpstreamID, bool) {
	for id, u := range q.upstreams {
		if _, ok := u.results[h]; ok {
			return id, true
		}
	}
	return "", false
}

// Estimate returns the expected time until n more pieces with the given aim would be
// made, not counting those that yield to them. If all upstreams are backing off or slow,
// d is 0; ok is false only if the queue has no upstreams.
func (q *Queue[T]) Estimate(now time.Time, n int, aim time.Time) (d time.Duration, ok bool) {
	ahead := 0
	for _, p := range q.waiting {
		if !p.Late && p.Aim.After(now) && (p.Resumed || !p.Aim.After(aim)) {
			ahead++
		}
	}
	return q.estimate(now, float64(ahead+n))
}

// EstimateResumed is Estimate for pieces of a stream that its caller takes up again.
func (q *Queue[T]) EstimateResumed(now time.Time, n int, aim time.Time) (d time.Duration, ok bool) {
	d, ok = q.Estimate(now, n, aim)
	if first, _ := q.estimate(now, float64(q.resumed+n)/ResumedShare); first < d {
		d = first
	}
	return d, ok
}

// Yielders returns waiting pieces that give way if n pieces like p are pushed, and the number of
// them that has to: the queue is longer than the bound, and p would miss its aim behind them. They
// are less urgent than p but have an earlier aim, and mayYield allows it. The least urgent come
// first, and among them the last to be pushed, so that what has waited longest stays. It returns
// none if p would miss its aim all the same.
func (q *Queue[T]) Yielders(now time.Time, p Piece[T], n int, bound time.Duration, mayYield func(T) bool) (ps []Piece[T], count int) {
	if bound <= 0 || p.Late {
		return nil, 0
	}
	rate := q.Rate(now)
	if rate <= 0 || float64(len(q.waiting)-q.late)/rate <= bound.Seconds() {
		return nil, 0
	}
	d, _ := q.Estimate(now, n, p.Aim)
	if d <= p.Aim.Sub(now) {
		return nil, 0
	}
	count = int(math.Ceil((d - p.Aim.Sub(now)).Seconds() * rate))
	for _, w := range q.waiting {
		if w.Rank > p.Rank && !w.Late && !w.Resumed && w.Aim.After(now) && !w.Aim.After(p.Aim) && mayYield(w.Value) {
			ps = append(ps, *w)
		}
	}
	if len(ps) < count {
		return nil, 0
	}
	slices.SortFunc(ps, func(a, b Piece[T]) int { return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(b.seq, a.seq)) })
	return ps, count
}

// estimate returns the expected time until the given number of pieces would be made, with
// results as for Estimate.
func (q *Queue[T]) estimate(now time.Time, pieces float64) (d time.Duration, ok bool) {
	available := 0
	earliest := time.Duration(-1)
	slowdown := 0.0
	threshold := q.slowThreshold()
	for _, u := range q.upstreams {
		if now.Before(u.backoffUntil) || u.slowdown > threshold {
			continue
		}
		available++
		slowdown += max(u.answeredSlowdown(), 1)
		if left := u.remaining(now, &q.calls); earliest < 0 || left < earliest {
			earliest = left
		}
	}
	if available == 0 {
		return 0, len(q.upstreams) > 0
	}
	slowdown /= float64(available)
	fullCall := time.Duration(float64(q.calls.ExpectedTime(q.calls.MaxBatch)) * slowdown)
	rounds := pieces / float64(max(q.calls.MaxBatch, 1)*available)
	return earliest + time.Duration(rounds*float64(fullCall)) + q.calls.CallOverhead, true
}

// Rate returns the capacity of the service in pieces per second: what the upstreams that
// aren't backing off make in full calls.
func (q *Queue[T]) Rate(now time.Time) (rate float64) {
	for _, u := range q.upstreams {
		if now.Before(u.backoffUntil) {
			continue
		}
		rate += float64(q.calls.MaxBatch) / (q.calls.ExpectedTime(q.calls.MaxBatch).Seconds() * max(u.answeredSlowdown(), 1))
	}
	return rate
}

// SustainedRate is Rate, or what the calls made lately if there was more to do than that for
// sustainWindow: results that wait for their readers may leave the upstreams no room for more.
func (q *Queue[T]) SustainedRate(now time.Time) float64 {
	rate := q.Rate(now)
	if q.backlogSince.IsZero() || now.Sub(q.backlogSince) < sustainWindow {
		return rate
	}
	q.recordMade(now, 0)
	return min(rate, max(q.made, minSustained*rate))
}

const (
	// sustainWindow is the time constant of the average of what calls make.
	sustainWindow = time.Second
	// minSustained is the fraction of Rate below which SustainedRate does not fall: calls that
	// fail together would otherwise make a queue look endless.
	minSustained = 0.2
)

// recordMade counts the pieces that a call made.
func (q *Queue[T]) recordMade(now time.Time, pieces int) {
	if dt := now.Sub(q.madeAt); dt > 0 {
		q.made *= math.Exp(-dt.Seconds() / sustainWindow.Seconds())
		q.madeAt = now
	}
	q.made += float64(pieces) / sustainWindow.Seconds()
}

// recordBacklog notes since when more pieces wait than the next calls of all upstreams take.
func (q *Queue[T]) recordBacklog(now time.Time) {
	switch {
	case len(q.waiting)-q.late <= q.calls.MaxBatch*len(q.upstreams):
		q.backlogSince = time.Time{}
	case q.backlogSince.IsZero():
		q.backlogSince = now
	}
}

// answeredSlowdown returns the slowdown of the calls that were answered in time. Calls that time
// out make the next timeout longer, but a silence does not show that the upstream is slow.
func (u *upstream) answeredSlowdown() float64 { return cmp.Or(u.slowdownBeforeTimeout, u.slowdown) }

// remaining returns the expected time until the last call to u ends, 0 if u is idle.
func (u *upstream) remaining(now time.Time, c *fleet.StageCalls) time.Duration {
	if u.inFlight == 0 {
		return 0
	}
	expected := time.Duration(float64(c.ExpectedTime(u.lastPieces)) * max(u.slowdown, 1))
	return max(expected-now.Sub(u.lastStart), 0)
}

// callTime returns the expected time of a call with n pieces at u, based on its slowdown.
func (q *Queue[T]) callTime(u *upstream, n int) time.Duration {
	return time.Duration(float64(q.calls.ExpectedTime(n)) * max(u.slowdown, 1))
}

// CallTimeout returns the time after which a call with n pieces to an upstream is overdue:
// its pieces are then queued again.
func (q *Queue[T]) CallTimeout(id wire.UpstreamID, n int) time.Duration {
	u := q.upstreams[id]
	if u == nil {
		return callTimeoutMargin
	}
	return q.callTime(u, n) + q.calls.ExpectedTime(q.calls.MaxBatch) + callTimeoutMargin
}

// callTimeoutMargin is added to the expected time of a call and of one full call of
// another router ahead of it. After that, the answer may be lost.
const callTimeoutMargin = 100 * time.Millisecond

// slowThreshold returns the slowdown above which an upstream gets only the pieces that
// the others can't take.
func (q *Queue[T]) slowThreshold() float64 {
	best := 0.0
	for _, u := range q.upstreams {
		if u.slowdown > 0 && (best == 0 || u.slowdown < best) {
			best = u.slowdown
		}
	}
	return slowRatio * max(best, 1)
}

// countOtherFast counts the upstreams, except the given one, whose slowdown is at most
// threshold and that aren't backing off.
func (q *Queue[T]) countOtherFast(now time.Time, except *upstream, threshold float64) (n int) {
	for _, u := range q.upstreams {
		if u != except && u.slowdown <= threshold && !now.Before(u.backoffUntil) {
			n++
		}
	}
	return n
}

// expireResults forgets the results that the upstream no longer keeps.
func (u *upstream) expireResults(now time.Time) {
	for h, r := range u.results {
		if now.After(r.expires) {
			u.used -= r.size
			delete(u.results, h)
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
	for id, u := range q.upstreams {
		v.Upstreams[id] = UpstreamView{u.inFlight, u.used, u.reserved, u.slowdown}
	}
	return v
}
