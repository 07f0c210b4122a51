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
	// MaxReportAge is the age of a load report above which it no longer justifies an
	// admission above the cold bound.
	MaxReportAge = 500 * time.Millisecond

	// spikeFactor is the multiple of the average latency above which the
	// upstream is assumed cold.
	spikeFactor = 4
	// minSpikeLatency is the latency of a unit below which no rise counts: services
	// that answer in a millisecond vary by more than spikeFactor on a busy host.
	minSpikeLatency = 20 * time.Millisecond
	// goodFactor is the multiple of the average latency up to which a
	// completion counts towards growth.
	goodFactor = 2
	// minUnitsDivisor is the part of an average call, as 1/minUnitsDivisor, that a call counts
	// as at least. A call that is cancelled after its first tokens, or has a short
	// answer, spent its time on the prompt and is not slow by the token.
	minUnitsDivisor = 4
	// averageDivisor is the divisor of a new sample in the moving average.
	averageDivisor = 8
	// maxSlots bounds each count of a report, so that sums can't overflow.
	maxSlots wire.Slots = 1 << 16
	// maxUnits bounds the units of a call for the same reason.
	maxUnits = 1 << 32
)

// Bounds are the concurrent calls that the upstream can hold when warm and in a
// cold start. A cold bound over the warm bound is lowered to it; a bound of 0
// admits nothing.
type Bounds struct{ Warm, Cold wire.Slots }

func (b Bounds) normalized() Bounds {
	b.Warm = max(b.Warm, 0)
	b.Cold = min(max(b.Cold, 0), b.Warm)
	return b
}

// LoadReport is the upstream's own load report.
type LoadReport struct {
	Boot             wire.BootID
	Cold             bool
	InFlight, Queued wire.Slots
}

func (e LoadReport) held() wire.Slots {
	return min(max(e.InFlight, 0), maxSlots) + min(max(e.Queued, 0), maxSlots)
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

// unitLatency is the latency of a unit, where a call of fewer than least units counts
// as one of least.
func (s Sample) unitLatency(least int64) time.Duration {
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
	bounds    Bounds
	limit     wire.Slots // above bounds.Cold only while grown
	grown     bool       // at least one growth step since the last Chill
	goodCalls wire.Slots // good completions since the last growth step

	inFlight wire.Slots
	solo     bool // the call in flight runs in isolation
	// previousRun counts calls in flight that were given to an earlier run of the
	// upstream; the present run doesn't report them. Calls that precede the
	// first report count too, since the run that holds them isn't known.
	previousRun wire.Slots
	otherCalls  wire.Slots // calls at the upstream beyond our own, by the last report

	boot         wire.BootID
	reportedCold bool      // the last report said cold
	reportedAt   time.Time // of the last report; zero before the first
	coldAt       time.Time
	// restartedAt is the time of the last report with a new boot id.
	restartedAt    time.Time
	avgUnitLatency time.Duration // of latency; 0 before the first success
	scaledAvgUnits int64         // average units of a success, times averageDivisor
}

// New returns a cold limiter.
func New(b Bounds) *Limiter {
	l := new(Limiter)
	l.SetBounds(b)
	return l
}

// SetBounds replaces the bounds. A grown limit is kept within the new bounds.
func (l *Limiter) SetBounds(b Bounds) {
	l.bounds = b.normalized()
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
	d := Decision{Limit: l.effectiveLimit(now)}
	held := l.inFlight + l.otherCalls
	switch {
	case l.solo, solo && held > 0:
		d.Reason = wire.ReasonSolo
	case held >= d.Limit && l.cold(now):
		d.Reason = wire.ReasonCold
	case held >= d.Limit:
		d.Reason = wire.ReasonBusy
	default:
		d.OK = true
		l.inFlight++
		l.solo = solo
	}
	return d
}

// Done ends one admitted call. The caller calls it once the upstream no longer
// holds the call; s.Latency runs from the admission to now.
func (l *Limiter) Done(now time.Time, s Sample) {
	began := now.Add(-s.Latency)
	l.release(began)
	pace := s.unitLatency(l.minUnits())
	if s.Reset || l.isSpike(pace) {
		l.updateAverages(s)
		l.MarkCold(now)
		return
	}
	good := l.avgUnitLatency == 0 || pace <= goodFactor*l.avgUnitLatency || pace < minSpikeLatency
	l.updateAverages(s)
	// A call given to the upstream before it turned cold says nothing about
	// what it can take now.
	if s.Failed || !good || began.Before(l.coldAt) {
		return
	}
	l.grow(now)
}

func (l *Limiter) release(began time.Time) {
	if l.inFlight == 0 {
		return
	}
	l.inFlight--
	if l.previousRun > 0 && began.Before(l.restartedAt) {
		l.previousRun--
	}
	l.previousRun = min(l.previousRun, l.inFlight)
	if l.inFlight == 0 {
		l.solo = false
	}
}

func (l *Limiter) isSpike(pace time.Duration) bool {
	return l.avgUnitLatency > 0 && pace > spikeFactor*l.avgUnitLatency && pace >= minSpikeLatency
}

// updateAverages moves the average towards s. The step is capped at the spike threshold:
// one very slow call would otherwise hide the following ones. Slow calls still
// move it, since an upstream that stays slow would otherwise stay cold for good.
func (l *Limiter) updateAverages(s Sample) {
	switch {
	case s.Failed || s.Reset:
	case l.avgUnitLatency == 0:
		l.avgUnitLatency = max(s.unitLatency(0), 1)
		l.scaledAvgUnits = averageDivisor * s.units()
	default:
		capped := min(s.unitLatency(l.minUnits()), spikeFactor*l.avgUnitLatency)
		l.avgUnitLatency = max(l.avgUnitLatency+(capped-l.avgUnitLatency)/averageDivisor, 1)
		l.scaledAvgUnits += s.units() - l.scaledAvgUnits/averageDivisor
	}
}

// minUnits is the number of units below which a call isn't compared by its units.
func (l *Limiter) minUnits() int64 { return l.scaledAvgUnits / averageDivisor / minUnitsDivisor }

func (l *Limiter) grow(now time.Time) {
	// A report from before the last sign of a cold start shows the earlier state.
	if l.reportedCold || !l.hasFreshReport(now) || l.reportedAt.Before(l.coldAt) {
		return
	}
	l.goodCalls++
	if l.goodCalls < l.limit {
		return
	}
	l.goodCalls = 0
	l.grown = true
	// The step is at least 1, or a cold bound of 1 would never grow.
	l.limit = min(max(l.limit*3/2, l.limit+1), l.bounds.Warm)
}

// Observe takes a load report. now is the time at which the report was
// requested, so that a slow answer doesn't look fresh.
func (l *Limiter) Observe(now time.Time, e LoadReport) {
	restarted := l.boot != e.Boot
	if restarted {
		l.previousRun, l.restartedAt = l.inFlight, now
	}
	if restarted || e.Cold {
		l.MarkCold(now)
	}
	l.boot, l.reportedCold = e.Boot, e.Cold
	l.reportedAt = now
	l.otherCalls = max(e.held()-(l.inFlight-l.previousRun), 0)
}

// MarkCold assumes that the upstream is cold, for instance after a pause of the
// process or when its data centre returns. Calls in flight stay counted.
func (l *Limiter) MarkCold(now time.Time) {
	l.limit = l.bounds.Cold
	l.grown = false
	l.goodCalls = 0
	l.coldAt = now
}

// DiscardReport sets the last report aside, for instance when a connection to an idle
// upstream broke. The cold bound applies until the next report, which restores
// the grown limit if the upstream has not restarted.
func (l *Limiter) DiscardReport() { l.reportedAt = time.Time{} }

// View returns the warmth, the limit in force and the admitted calls in flight.
func (l *Limiter) View(now time.Time) (w wire.Warmth, limit, flight wire.Slots) {
	limit, flight = l.effectiveLimit(now), l.inFlight
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
func (l *Limiter) Held() wire.Slots { return l.inFlight + l.otherCalls }

func (l *Limiter) cold(now time.Time) bool { return !l.grown || !l.hasFreshReport(now) }

func (l *Limiter) hasFreshReport(now time.Time) bool {
	return !l.reportedAt.IsZero() && now.Sub(l.reportedAt) <= MaxReportAge
}

// effectiveLimit is the limit in force. Without a recent report it is the cold bound;
// the grown limit applies again once a report shows the same run of the upstream.
func (l *Limiter) effectiveLimit(now time.Time) wire.Slots {
	if l.cold(now) {
		return l.bounds.Cold
	}
	return l.limit
}
