package pace

import (
	"math"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	// loadLife is the age at which a reported number of requests counts for nothing. Most
	// requests of a report have ended by then.
	loadLife = time.Second
	// paceLife is the age at which a reported pace counts for nothing. The figure changes
	// about as often.
	paceLife = 600 * time.Millisecond
	// freshLife is the age up to which a figure spares a probe. The pace is then the same
	// with a probability of about two thirds or more.
	freshLife = 200 * time.Millisecond
	// unansweredPace is the pace that an upstream is taken to have when a probe was not
	// answered in time, and unansweredPause the time until it is probed again.
	unansweredPace  = 2 * Usual
	unansweredPause = 500 * time.Millisecond
	// outputWeight is the work of one output token in prompt tokens. Prompts are read in
	// large batches limited by arithmetic; each output token takes a pass limited by memory.
	outputWeight = 10
	// speedSmoothing is the weight of an answer in the lasting speed. An answer's time
	// varies by half around its expected time, which ten answers level out.
	speedSmoothing = 0.1
	// speedHalfLife is the time without answers in which the lasting speed comes half way back to
	// that of the others. Otherwise an upstream that was slow by chance would not be tried again.
	speedHalfLife = 10 * time.Second
	// maxSpeedSample bounds the weight of a single answer, and minSpeed and maxSpeed the
	// lasting speed: an upstream beyond them is an outlier, which package route ejects.
	maxSpeedSample     = 4
	minSpeed, maxSpeed = 0.5, 3
)

// Work is the work that one request leaves to do at its upstream, in prompt tokens, or 1 in
// total at services that are no engines.
type Work struct{ read, write float64 }

// One is the work of a request to a service that is no engine.
func One() Work { return Work{write: 1} }

// Tokens is the work of a request with unread prompt tokens that the engine doesn't hold and
// the given output tokens.
func Tokens(unread, output wire.Tokens) Work {
	return Work{read: float64(max(unread, 0)), write: outputWeight * float64(max(output, 1))}
}

func (w Work) total() float64 { return w.read + w.write }

// Upstream is what a router knows about the load and the pace of one upstream. It is not
// safe for concurrent use. The zero value knows nothing.
type Upstream struct {
	requests int     // own requests in flight
	work     float64 // their work

	report   Report
	reportAt time.Time // when the report was made, at the earliest; zero before the first
	others   int       // requests of other routers in the report
	paceAt   time.Time // as reportAt, of the last report with a pace
	pace     Percent
	probeAt  time.Time // when the upstream may be probed again

	speed   float64 // lasting time of work relative to other upstreams at speedAt; 0 counts as 1
	speedAt time.Time
}

// Sent records that a request was sent. Done must follow.
func (u *Upstream) Sent(w Work) {
	u.requests++
	u.work += w.total()
}

// Read records that the engine has read the prompt of a request: its answer has begun. The
// result is the work that is left.
func (u *Upstream) Read(w Work) Work {
	u.work -= w.read
	return Work{write: w.write}
}

// Done records the end of a request with the given work left.
func (u *Upstream) Done(w Work) {
	u.requests--
	if u.work -= w.total(); u.requests == 0 {
		u.work = 0 // drops rounding errors
	}
}

// Heard records a report that was made at the given time or later. One that is older than
// the last is ignored: answers may overtake each other.
func (u *Upstream) Heard(at time.Time, r Report) {
	if at.Before(u.reportAt) {
		return
	}
	u.report, u.reportAt = r, at
	u.others = max(r.Running+r.Waiting-u.requests, 0)
	if r.Pace > 0 {
		u.pace, u.paceAt = min(max(r.Pace, fastest), slowest), at
	}
}

// Unanswered records that a probe was not answered in time. The upstream may be down or out of
// reach, so it counts as slow for as long as a report would count.
func (u *Upstream) Unanswered(now time.Time) {
	u.pace, u.paceAt, u.probeAt = unansweredPace, now, now.Add(unansweredPause)
}

// WantsProbe reports whether a probe would tell more than what is known.
func (u *Upstream) WantsProbe(now time.Time) bool {
	fresh := !u.paceAt.IsZero() && now.Sub(u.paceAt) <= freshLife
	return !fresh && !now.Before(u.probeAt)
}

// Last returns the last report and its age, and false if there is none.
func (u *Upstream) Last(now time.Time) (r Report, age time.Duration, ok bool) {
	return u.report, max(now.Sub(u.reportAt), 0), !u.reportAt.IsZero()
}

// Speed returns the lasting time of work at the upstream relative to the others.
func (u *Upstream) Speed(now time.Time) float64 {
	if u.speed == 0 {
		return 1
	}
	return 1 + (u.speed-1)*math.Exp2(-float64(max(now.Sub(u.speedAt), 0))/float64(speedHalfLife))
}

// Answered records the time that an answer took relative to the expected time. It is divided
// by the pace that the upstream told for about that time. Where upstreams tell their pace, an
// answer without it says nothing about the lasting speed.
func (u *Upstream) Answered(now time.Time, ratio float64, m Means) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	k := u.Know(now)
	weight := speedSmoothing
	if m.Paced {
		weight *= k.paceTrust
	}
	sample := min(ratio/(k.passing(m.Pace)/m.Pace), maxSpeedSample)
	u.speed = min(max(k.speed+weight*(sample-k.speed), minSpeed), maxSpeed)
	u.speedAt = now
}

// trust returns the weight of a figure by its age: 1 for a new one, 0 from life on, and 0 for
// one that is missing or from the future.
func trust(now, at time.Time, life time.Duration) float64 {
	age := now.Sub(at)
	if at.IsZero() || age < 0 || age >= life {
		return 0
	}
	return 1 - float64(age)/float64(life)
}

// Known is a snapshot of an Upstream for Estimate.
type Known struct {
	work        float64 // own work in flight, in the service's units
	requests    int     // own requests in flight
	others      float64 // requests of other routers, as last told
	othersTrust float64 // weight of others by its age
	pace        float64 // as last told, as a factor of the usual time
	paceTrust   float64 // weight of pace by its age
	speed       float64
	// Failing says that the upstream has failed lately. What it tells then doesn't place it
	// below the mean: one that fails at once is idle.
	Failing bool
}

// Know returns the snapshot for a choice at now.
func (u *Upstream) Know(now time.Time) Known {
	return Known{
		work: u.work, requests: u.requests, others: float64(u.others), othersTrust: trust(now, u.reportAt, loadLife),
		pace: float64(u.pace) / float64(Usual), paceTrust: trust(now, u.paceAt, paceLife), speed: u.Speed(now),
	}
}

// Later returns what is known for a request that reaches the upstream only after its present
// pace has passed.
func (k Known) Later() Known {
	k.paceTrust = 0
	return k
}

// passing returns the expected pace as a factor of the usual time: the last figure, which
// loses weight against the mean of the service with its age.
func (k Known) passing(usual float64) float64 {
	return k.paceTrust*k.pace + (1-k.paceTrust)*usual
}

// Load is the estimated load of an upstream.
type Load struct {
	Requests float64 // of all routers, in typical requests
	Factor   float64 // time that work takes, relative to a usual upstream
}

const (
	// minOthers is the smallest part of the mean load of other routers that an upstream is
	// taken to have, however little it tells. Many routers read the same figure of an idle
	// upstream before any of their requests shows in it.
	minOthers = 0.5
	// maxOthers is the largest multiple of that mean, so that one wrong report doesn't make all
	// other upstreams look idle.
	maxOthers = 4
	// enoughReports is the number of reports, weighted by age, from which on their mean is
	// trusted in full.
	enoughReports = 2
)

// meanOthers returns the mean of the requests of other routers, each at most most, weighted by age,
// and the sum of the weights.
func meanOthers(known []Known, most float64) (mean, weight float64) {
	for i := range known {
		weight += known[i].othersTrust
		mean += known[i].othersTrust * min(known[i].others, most)
	}
	if weight > 0 {
		mean /= weight
	}
	return mean, weight
}

// Estimate sets loads, which has the length of known. If no figure is known, the load of each upstream is
// that of the router's own requests and its factor is 1, also if its speed was learnt before:
// the speed counts together with the pace that it was corrected by. confidence is between 0, no
// figure is known, and 1.
func Estimate(known []Known, loads []Load, m Means) (confidence float64) {
	mean, weight := meanOthers(known, math.Inf(1))
	most := maxOthers*mean + 1
	mean, _ = meanOthers(known, most)
	confidence = min(weight/enoughReports, 1)
	for i := range known {
		k := &known[i]
		own := float64(k.requests)
		if m.Work > 0 {
			own = k.work / m.Work
		}
		least := minOthers * mean
		if k.Failing {
			least = mean
		}
		others := max(k.othersTrust*min(k.others, most)+(1-k.othersTrust)*mean, least)
		loads[i] = Load{
			Requests: own + confidence*others,
			Factor:   1 + confidence*(k.speed*k.passing(m.Pace)/m.Pace-1),
		}
	}
	return confidence
}
