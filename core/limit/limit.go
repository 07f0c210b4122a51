// Package limit decides how many calls an agent gives to its upstream at once.
// A limiter starts at the cold bound and grows towards the warm bound with
// completions at good latency. It returns to the cold bound at the first sign
// that the upstream has restarted or has slowed down.
package limit

import (
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	// MaxAge is the age of a load report above which it no longer justifies an
	// admission above the cold bound.
	MaxAge = 500 * time.Millisecond

	// spikeFactor is the multiple of the average latency above which the
	// upstream is assumed cold.
	spikeFactor = 4
	// spikeFloor is the latency of a unit below which no rise counts: services
	// that answer in a millisecond vary by more than spikeFactor on a busy host.
	spikeFloor = 20 * time.Millisecond
	// goodFactor is the multiple of the average latency up to which a
	// completion counts towards growth.
	goodFactor = 2
	// leastPart is the part of an average call, as 1/leastPart, that a call counts
	// as at least. A call that is cancelled after its first tokens, or has a short
	// answer, spent its time on the prompt and is not slow by the token.
	leastPart = 4
	// averageWeight is the divisor of a new sample in the moving average.
	averageWeight = 8
	// maxSlots bounds each count of a report, so that sums can't overflow.
	maxSlots wire.Slots = 1 << 16
	// maxUnits bounds the units of a call for the same reason.
	maxUnits = 1 << 32
)

// Bounds are the concurrent calls that the upstream can hold when warm and in a
// cold start. A cold bound over the warm bound is lowered to it; a bound of 0
// admits nothing.
type Bounds struct{ Warm, Cold wire.Slots }

func (b Bounds) normal() Bounds {
	b.Warm = max(b.Warm, 0)
	b.Cold = min(max(b.Cold, 0), b.Warm)
	return b
}

// Evidence is the upstream's own load report.
type Evidence struct {
	Boot           wire.BootID
	Cold           bool
	Flight, Queued wire.Slots
}

func (e Evidence) held() wire.Slots {
	return min(max(e.Flight, 0), maxSlots) + min(max(e.Queued, 0), maxSlots)
}

// Sample describes the end of one call. Failed calls don't count towards growth.
// Reset says that the connection to the upstream was lost. Units is the work of
// the call, for instance its generated tokens; calls are compared by the latency
// of a unit, since a long answer is not a slow upstream. 0 counts as 1.
type Sample struct {
	Latency       time.Duration
	Units         int64
	Failed, Reset bool
}

// pace is the latency of a unit, where a call of fewer than least units counts
// as one of least.
func (s Sample) pace(least int64) time.Duration {
	return s.Latency / time.Duration(max(s.Units, least, 1))
}

func (s Sample) units() int64 { return min(max(s.Units, 0), maxUnits) }

// Decision is the answer to one request for admission. Reason is empty when OK
// is true; Limit is the limit that applied.
type Decision struct {
	OK     bool
	Reason wire.Reason
	Limit  wire.Slots
}

// Limiter bounds the calls in flight at one upstream. It is not safe for
// concurrent use. The zero Limiter admits nothing until SetBounds.
type Limiter struct {
	bounds Bounds
	limit  wire.Slots // above bounds.Cold only while grown
	grown  bool       // at least one growth step since the last Chill
	good   wire.Slots // good completions since the last growth step

	flight wire.Slots
	solo   bool // the call in flight runs in isolation
	// previous counts calls in flight that were given to an earlier run of the
	// upstream; the present run doesn't report them. Calls that precede the
	// first report count too, since the run that holds them isn't known.
	previous wire.Slots
	foreign  wire.Slots // calls at the upstream beyond our own, by the last report

	boot    wire.BootID
	said    bool      // the last report said cold
	seen    time.Time // of the last report; zero before the first
	chilled time.Time
	// restarted is the time of the last report with a new boot id.
	restarted time.Time
	average   time.Duration // of latency; 0 before the first success
	size      int64         // average units of a success, times averageWeight
}

// New returns a cold limiter.
func New(b Bounds) *Limiter {
	l := new(Limiter)
	l.SetBounds(b)
	return l
}

// SetBounds replaces the bounds. A grown limit is kept within the new bounds.
func (l *Limiter) SetBounds(b Bounds) {
	l.bounds = b.normal()
	if !l.grown {
		l.limit = l.bounds.Cold
		return
	}
	l.limit = min(max(l.limit, l.bounds.Cold), l.bounds.Warm)
}

// Admit decides on one call and counts it as in flight when OK. A solo call is
// admitted only when the upstream holds nothing, and nothing is admitted until
// it is done. Reason is `solo` when isolation forbids the call, `cold` when a
// cold upstream is full and `busy` when a warmer one is.
func (l *Limiter) Admit(now time.Time, solo bool) Decision {
	d := Decision{Limit: l.effective(now)}
	held := l.flight + l.foreign
	switch {
	case l.solo, solo && held > 0:
		d.Reason = wire.ReasonSolo
	case held >= d.Limit && l.cold(now):
		d.Reason = wire.ReasonCold
	case held >= d.Limit:
		d.Reason = wire.ReasonBusy
	default:
		d.OK = true
		l.flight++
		l.solo = solo
	}
	return d
}

// Done ends one admitted call. The caller calls it once the upstream no longer
// holds the call; s.Latency runs from the admission to now.
func (l *Limiter) Done(now time.Time, s Sample) {
	began := now.Add(-s.Latency)
	l.release(began)
	pace := s.pace(l.least())
	if s.Reset || l.spike(pace) {
		l.learn(s)
		l.Chill(now)
		return
	}
	good := l.average == 0 || pace <= goodFactor*l.average || pace < spikeFloor
	l.learn(s)
	// A call given to the upstream before it turned cold says nothing about
	// what it can take now.
	if s.Failed || !good || began.Before(l.chilled) {
		return
	}
	l.grow(now)
}

func (l *Limiter) release(began time.Time) {
	if l.flight == 0 {
		return
	}
	l.flight--
	if l.previous > 0 && began.Before(l.restarted) {
		l.previous--
	}
	l.previous = min(l.previous, l.flight)
	if l.flight == 0 {
		l.solo = false
	}
}

func (l *Limiter) spike(pace time.Duration) bool {
	return l.average > 0 && pace > spikeFactor*l.average && pace >= spikeFloor
}

// learn moves the average towards s. The step is capped at the spike threshold:
// one very slow call would otherwise hide the following ones. Slow calls still
// move it, since an upstream that stays slow would otherwise stay cold for good.
func (l *Limiter) learn(s Sample) {
	switch {
	case s.Failed || s.Reset:
	case l.average == 0:
		l.average = max(s.pace(0), 1)
		l.size = averageWeight * s.units()
	default:
		capped := min(s.pace(l.least()), spikeFactor*l.average)
		l.average = max(l.average+(capped-l.average)/averageWeight, 1)
		l.size += s.units() - l.size/averageWeight
	}
}

// least is the number of units below which a call isn't compared by its units.
func (l *Limiter) least() int64 { return l.size / averageWeight / leastPart }

func (l *Limiter) grow(now time.Time) {
	// A report from before the last sign of a cold start shows the earlier state.
	if l.said || !l.fresh(now) || l.seen.Before(l.chilled) {
		return
	}
	l.good++
	if l.good < l.limit {
		return
	}
	l.good = 0
	l.grown = true
	// The step is at least 1, or a cold bound of 1 would never grow.
	l.limit = min(max(l.limit*3/2, l.limit+1), l.bounds.Warm)
}

// Observe takes a load report. now is the time at which the report was
// requested, so that a slow answer doesn't look fresh.
func (l *Limiter) Observe(now time.Time, e Evidence) {
	restarted := l.boot != e.Boot
	if restarted {
		l.previous, l.restarted = l.flight, now
	}
	if restarted || e.Cold {
		l.Chill(now)
	}
	l.boot, l.said = e.Boot, e.Cold
	l.seen = now
	l.foreign = max(e.held()-(l.flight-l.previous), 0)
}

// Chill assumes that the upstream is cold, for instance after a pause of the
// process or when its data centre returns. Calls in flight stay counted.
func (l *Limiter) Chill(now time.Time) {
	l.limit = l.bounds.Cold
	l.grown = false
	l.good = 0
	l.chilled = now
}

// Doubt sets the last report aside, for instance when a connection to an idle
// upstream broke. The cold bound applies until the next report, which restores
// the grown limit if the upstream has not restarted.
func (l *Limiter) Doubt() { l.seen = time.Time{} }

// View returns the warmth, the limit in force and the admitted calls in flight.
func (l *Limiter) View(now time.Time) (w wire.Warmth, limit, flight wire.Slots) {
	limit, flight = l.effective(now), l.flight
	switch {
	case l.cold(now):
		return wire.WarmthCold, limit, flight
	case limit < l.bounds.Warm:
		return wire.WarmthWarming, limit, flight
	}
	return wire.WarmthWarm, limit, flight
}

// Held returns the calls that the upstream holds: those admitted here and the
// others that its last report counted.
func (l *Limiter) Held() wire.Slots { return l.flight + l.foreign }

func (l *Limiter) cold(now time.Time) bool { return !l.grown || !l.fresh(now) }

func (l *Limiter) fresh(now time.Time) bool {
	return !l.seen.IsZero() && now.Sub(l.seen) <= MaxAge
}

// effective is the limit in force. Without a recent report it is the cold bound;
// the grown limit applies again once a report shows the same run of the upstream.
func (l *Limiter) effective(now time.Time) wire.Slots {
	if l.cold(now) {
		return l.bounds.Cold
	}
	return l.limit
}
