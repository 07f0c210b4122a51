// Package limit adapts the number of concurrent calls that an agent sends to its
// upstream. A limiter starts at the cold bound and grows towards the warm bound
// as calls complete with normal latency. It returns to the cold bound at the first
// sign that the upstream has restarted or slowed down.
package limit

import (
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	// MaxReportAge is the age of a load report above which it no longer justifies
	// admissions above the cold bound.
	MaxReportAge = 500 * time.Millisecond

	// spikeFactor is the multiple of the average unit latency above which the
	// upstream is assumed cold.
	spikeFactor = 4
	// minSpikeLatency is the unit latency below which a rise is ignored: the latency
	// of services that answer in a millisecond varies by more than spikeFactor on a
	// busy host.
	minSpikeLatency = 20 * time.Millisecond
	// goodFactor is the multiple of the average unit latency up to which a
	// completed call counts towards growth.
	goodFactor = 2
	// minUnitsDivisor sets the minimum size at which a call is compared:
	// 1/minUnitsDivisor of the average units. A call that is cancelled after its
	// first tokens or has a short answer spends most of its time on the prompt, so
	// its high latency per token doesn't show a slow upstream.
	minUnitsDivisor = 4
	// averageDivisor is the reciprocal of the weight of a new sample in the
	// moving averages.
	averageDivisor = 8
	// maxSlots caps each count of a load report, so that sums can't overflow.
	maxSlots wire.Slots = 1 << 16
	// maxUnits caps the units of a call, so that sums can't overflow.
	maxUnits = 1 << 32
)

// Bounds holds the numbers of concurrent calls that the upstream can hold when it
// is warm and during a cold start. A cold bound above the warm bound is lowered to
// it; a bound of 0 admits nothing.
type Bounds struct{ Warm, Cold wire.Slots }

// normalized returns b with 0 <= Cold <= Warm.
func (b Bounds) normalized() Bounds {
	b.Warm = max(b.Warm, 0)
	b.Cold = min(max(b.Cold, 0), b.Warm)
	return b
}

// LoadReport is the load that an upstream reports about itself, including calls
// from others.
type LoadReport struct {
	Boot             wire.BootID
	Cold             bool
	InFlight, Queued wire.Slots
}

// held returns the calls that the upstream runs or queues.
func (e LoadReport) held() wire.Slots {
	return min(max(e.InFlight, 0), maxSlots) + min(max(e.Queued, 0), maxSlots)
}

// Sample describes a finished call. Failed calls don't count towards growth.
// Reset means that the connection to the upstream was lost. Units is the amount of
// work, for instance the generated tokens; 0 counts as 1. Calls are compared by
// latency per unit, since a long answer doesn't mean that the upstream is slow.
type Sample struct {
	Latency       time.Duration
	Units         int64
	Failed, Reset bool
}

// unitLatency returns the latency per unit. A call of fewer than least units counts
// as one of least units.
func (s Sample) unitLatency(least int64) time.Duration {
	return s.Latency / time.Duration(max(s.Units, least, 1))
}

// units returns the units of the call, limited to the range 0 to maxUnits.
func (s Sample) units() int64 { return min(max(s.Units, 0), maxUnits) }

// Decision is the result of Admit. Reason is empty if OK is true; Limit is the
// limit that applied.
type Decision struct {
	OK     bool
	Reason wire.Reason
	Limit  wire.Slots
}

// Limiter limits the calls in flight at one upstream. It is not safe for
// concurrent use. The zero Limiter admits nothing until SetBounds is called.
type Limiter struct {
	bounds    Bounds
	limit     wire.Slots // above bounds.Cold only if grown
	grown     bool       // at least one growth step since the last MarkCold
	goodCalls wire.Slots // calls with normal latency since the last growth step

	inFlight wire.Slots
	solo     bool // the call in flight must run alone
	// previousRunCalls counts calls in flight that were sent to an earlier run of the
	// upstream, which the current run doesn't report. Calls from before the first
	// report are included, since it isn't known which run holds them.
	previousRunCalls wire.Slots
	otherCalls       wire.Slots // calls of others at the upstream, from the last report

	boot         wire.BootID
	reportedCold bool      // the last report said that the upstream is cold
	reportedAt   time.Time // time of the last report; zero before the first or if discarded
	coldAt       time.Time // time of the last MarkCold
	// restartedAt is the time of the last report with a new boot ID.
	restartedAt    time.Time
	avgUnitLatency time.Duration // moving average; 0 before the first success
	scaledAvgUnits int64         // average units of successful calls, times averageDivisor
}

// New returns a limiter that starts at the cold bound.
func New(b Bounds) *Limiter {
	l := new(Limiter)
	l.SetBounds(b)
	return l
}

// SetBounds replaces the bounds. A grown limit is clamped to the new bounds.
func (l *Limiter) SetBounds(b Bounds) {
	l.bounds = b.normalized()
	if !l.grown {
		l.limit = l.bounds.Cold
		return
	}
	l.limit = min(max(l.limit, l.bounds.Cold), l.bounds.Warm)
}

// Admit decides whether a call may start, and counts it as in flight if so. A solo
// call is admitted only if the upstream holds no other call, and no other call is
// admitted until it is done. The reason for a refusal is `solo` if a solo call
// forbids it, `cold` if the upstream is cold and full, and `busy` if it is full
// otherwise.
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

// Done records the end of an admitted call. It must be called only when the
// upstream no longer holds the call; s.Latency is the time from admission to now.
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
	// A call sent before the upstream turned cold doesn't show how much load it
	// can take now.
	if s.Failed || !good || began.Before(l.coldAt) {
		return
	}
	l.grow(now)
}

// release removes a call that was admitted at began from the counts.
func (l *Limiter) release(began time.Time) {
	if l.inFlight == 0 {
		return
	}
	l.inFlight--
	if l.previousRunCalls > 0 && began.Before(l.restartedAt) {
		l.previousRunCalls--
	}
	l.previousRunCalls = min(l.previousRunCalls, l.inFlight)
	if l.inFlight == 0 {
		l.solo = false
	}
}

// isSpike reports whether a unit latency suggests that the upstream is cold.
func (l *Limiter) isSpike(pace time.Duration) bool {
	return l.avgUnitLatency > 0 && pace > spikeFactor*l.avgUnitLatency && pace >= minSpikeLatency
}

// updateAverages adds a successful call to the moving averages. Its latency is
// capped at the spike threshold, or one very slow call would hide those that follow.
// Slow calls are not left out, or an upstream that stays slow would stay cold forever.
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

// minUnits returns the number of units that a call counts as at least when its latency
// is compared.
func (l *Limiter) minUnits() int64 { return l.scaledAvgUnits / averageDivisor / minUnitsDivisor }

// grow counts a call with normal latency and raises the limit by half once there have
// been as many as the limit.
func (l *Limiter) grow(now time.Time) {
	// A report from before coldAt shows the state before the cold start.
	if l.reportedCold || !l.hasFreshReport(now) || l.reportedAt.Before(l.coldAt) {
		return
	}
	l.goodCalls++
	if l.goodCalls < l.limit {
		return
	}
	l.goodCalls = 0
	l.grown = true
	// Grow by at least 1, since 1*3/2 is 1 and a cold bound of 1 would never grow.
	l.limit = min(max(l.limit*3/2, l.limit+1), l.bounds.Warm)
}

// Observe processes a load report. now is the time at which the report was
// requested, so that a slow answer doesn't look fresh.
func (l *Limiter) Observe(now time.Time, e LoadReport) {
	restarted := l.boot != e.Boot
	if restarted {
		l.previousRunCalls, l.restartedAt = l.inFlight, now
	}
	if restarted || e.Cold {
		l.MarkCold(now)
	}
	l.boot, l.reportedCold = e.Boot, e.Cold
	l.reportedAt = now
	l.otherCalls = max(e.held()-(l.inFlight-l.previousRunCalls), 0)
}

// MarkCold assumes that the upstream is cold and returns to the cold bound, for
// instance after the process was paused or when the upstream's data centre returns.
// Calls in flight stay counted.
func (l *Limiter) MarkCold(now time.Time) {
	l.limit = l.bounds.Cold
	l.grown = false
	l.goodCalls = 0
	l.coldAt = now
}

// DiscardReport discards the last report, for instance when a connection to an idle
// upstream broke. The cold bound applies until the next report, which restores
// the grown limit if the upstream has not restarted.
func (l *Limiter) DiscardReport() { l.reportedAt = time.Time{} }

// View returns the upstream's warmth, the limit in force and the admitted calls in
// flight.
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

// Held returns the number of calls at the upstream: those admitted here and those of
// others in its last report.
func (l *Limiter) Held() wire.Slots { return l.inFlight + l.otherCalls }

// cold reports whether the cold bound applies.
func (l *Limiter) cold(now time.Time) bool { return !l.grown || !l.hasFreshReport(now) }

// hasFreshReport reports whether the last report is at most MaxReportAge old.
func (l *Limiter) hasFreshReport(now time.Time) bool {
	return !l.reportedAt.IsZero() && now.Sub(l.reportedAt) <= MaxReportAge
}

// effectiveLimit returns the limit in force. Without a recent report it is the cold
// bound; the grown limit applies again once a report shows that the upstream has not
// restarted.
func (l *Limiter) effectiveLimit(now time.Time) wire.Slots {
	if l.cold(now) {
		return l.bounds.Cold
	}
	return l.limit
}
