package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hornbeamcove.example/fakes/site"
)

// notExecutedStatuses are the statuses that promise that the request has not run and never
// will.
var notExecutedStatuses = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

const (
	// faultLookback is how long before the start of a request a fault may still explain
	// its outcome.
	faultLookback = 4 * time.Second
	// recoveryLimit is the time after the last fault from which requests must be served
	// again.
	recoveryLimit = 2500 * time.Millisecond
	// minServedRatio is the share of the requests begun after recoveryLimit that must be
	// served.
	minServedRatio = 0.97
	// evacuateLimit and drainLimit are the times after which an evacuated data centre and a
	// draining replica must get no more requests: the platform's limits of 5 s and 3 s.
	evacuateLimit = 5 * time.Second
	drainLimit    = 3 * time.Second
	// cancelLimit is the time after which replicas must have stopped work for a caller that
	// left: the platform's limit of 0.5 s, doubled to allow for a busy machine.
	cancelLimit = time.Second
	// overlapLimit is how long a replica may still work on a stream that has been resumed at
	// another one: the platform's limit of 0.4 s.
	overlapLimit = 400 * time.Millisecond
	// maxUncancelled is the number of callers whose work may go on after they left.
	maxUncancelled = 3
	// maxViolationsPerKind is the largest number of violations reported for each kind.
	maxViolationsPerKind = 5
)

// check compares the records of callers and replicas. It returns the violated invariants
// and the number of requests that were served.
func (r *Run) check() (violations []string, served int) {
	c := &checker{r: r, runs: map[string][]site.Run{}, count: map[string]int{}}
	for _, run := range r.site.Runs() {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	recordsByID := map[string]*requestRecord{}
	settled, settledServed := 0, 0
	for _, s := range r.callers.records {
		recordsByID[s.id] = s
		ok := c.checkRequest(s)
		if ok {
			served++
		}
		if s.leftAt.IsZero() && s.began.After(r.quietSince.Add(recoveryLimit)) && s.ended.Before(r.quietSince.Add(quietPeriod)) && !s.ended.IsZero() {
			settled++
			if ok {
				settledServed++
			}
		}
	}
	c.checkReplicas(recordsByID)
	c.checkCancellation()
	if settled < 10 || float64(settledServed) < minServedRatio*float64(settled) {
		c.fail("recovery", "%d of %d requests were served from %v after the last fault", settledServed, settled, recoveryLimit)
	}
	if served == 0 {
		c.fail("recovery", "no request was served")
	}
	return c.violations, served
}

// checker collects the violations of a run.
type checker struct {
	r          *Run
	runs       map[string][]site.Run // by request ID
	count      map[string]int
	violations []string
}

// fail records a violation, up to maxViolationsPerKind of each kind.
func (c *checker) fail(kind, format string, args ...any) {
	if c.count[kind]++; c.count[kind] <= maxViolationsPerKind {
		c.violations = append(c.violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// checkRequest checks one request and reports whether it was served completely.
func (c *checker) checkRequest(s *requestRecord) bool {
	executed := 0
	for _, run := range c.runs[s.id] {
		if run.Executed {
			executed++
		}
	}
	if s.atMostOnce && executed > 1 {
		c.fail("twice", "%s ran %d times", s.id, executed)
	}
	if executed > s.attempts {
		c.fail("attempts", "%s ran at %d replicas, %d are allowed", s.id, executed, s.attempts)
	}
	c.checkOverlap(s)
	if s.atMostOnce && notExecutedStatuses[s.status] && executed > 0 {
		c.fail("false promise", "%s was answered %d, but ran", s.id, s.status)
	}
	if s.status == http.StatusUnauthorized || s.status == http.StatusNotFound || s.status == http.StatusBadRequest {
		c.fail("denied", "%s was answered %d", s.id, s.status)
	}
	if s.status == http.StatusOK {
		c.checkAnswer(s)
	}
	if s.status == 0 && s.err != nil && s.leftAt.IsZero() && !s.ended.IsZero() && executed > 0 && !c.r.events.hadFault(c.exposure(s, s.began, s.ended)) {
		c.fail("cut", "%s at %s ran and got no answer, although no fault was active: %v", s.id, s.router, s.err)
	}
	return s.status == http.StatusOK && s.err == nil
}

// checkOverlap checks that a stream is resumed at another replica only after the previous
// one has stopped, apart from overlapLimit.
func (c *checker) checkOverlap(s *requestRecord) {
	runs := c.runs[s.id]
	for i := range runs {
		for _, next := range runs[i+1:] {
			if s.stream && runs[i].Executed && next.Executed && runs[i].Replica != next.Replica && runs[i].Ended.Sub(next.Began) > overlapLimit &&
				!c.r.events.mayMissClose(c.exposure(s, next.Began, runs[i].Ended)) {
				c.fail("overlap", "%s still ran at %s when %s had worked on it for %v", s.id, runs[i].Replica, next.Replica, runs[i].Ended.Sub(next.Began))
			}
		}
	}
}

// checkAnswer checks the body of a 200 answer: complete if it ended without an error, else
// a prefix of the expected one.
func (c *checker) checkAnswer(s *requestRecord) {
	whole := s.expectedAnswer()
	switch {
	case s.err == nil && s.answer != whole:
		c.fail("answer", "%s ended without an error, but its body is wrong: %q", s.id, truncate(s.answer))
	case s.err != nil && !strings.HasPrefix(whole, s.answer):
		c.fail("answer", "%s ended with an error, and its body is not a prefix of the expected answer: %q", s.id, truncate(s.answer))
	}
}

// exposure returns the router and replicas that a request used and the time span from
// faultLookback before from until till.
func (c *checker) exposure(s *requestRecord, from, till time.Time) exposure {
	w := exposure{from: from.Add(-faultLookback), till: till, router: s.router}
	for _, run := range c.runs[s.id] {
		w.replicas = append(w.replicas, run.Replica)
	}
	return w
}

// checkCancellation checks that replicas stop work for callers that left. Requests that
// must run at most once are exempt, unless they are streams.
func (c *checker) checkCancellation() {
	uncancelled := 0
	for _, s := range c.r.callers.records {
		if s.leftAt.IsZero() || s.atMostOnce && !s.stream || c.r.events.mayMissClose(c.exposure(s, s.began, s.leftAt.Add(cancelLimit))) {
			continue
		}
		for _, run := range c.runs[s.id] {
			if run.Executed && (run.Ended.IsZero() || run.Ended.After(s.leftAt.Add(cancelLimit))) {
				uncancelled++
				break
			}
		}
	}
	if uncancelled > maxUncancelled {
		c.fail("left behind", "replicas still worked for %d callers %v after they left", uncancelled, cancelLimit)
	}
}

// banned reports whether a run began at a replica, or in a data centre, that must get no
// more requests. It tolerates a router that was not free of faults, or cut off from the
// store, during the whole limit before the run, because it may not know of the ban.
func (c *checker) banned(s *requestRecord, run site.Run) bool {
	centre := c.r.centreOf(run.Replica)
	for _, e := range c.r.events.all {
		limit, targeted := drainLimit, slices.Contains(e.replicas, run.Replica)
		if e.centre != "" {
			limit, targeted = evacuateLimit, e.centre == centre
		}
		if e.scope == scopeBanned && targeted && run.Began.After(e.from.Add(limit)) && (e.till.IsZero() || run.Began.Before(e.till)) &&
			!c.r.events.routerMayBeStale(exposure{run.Began.Add(-limit), run.Began, s.router, nil}) {
			return true
		}
	}
	return false
}

func truncate(s string) string { return s[:min(len(s), 200)] }

// checkReplicas checks the requests that replicas received.
func (c *checker) checkReplicas(recordsByID map[string]*requestRecord) {
	for id, runs := range c.runs {
		s := recordsByID[id]
		for _, run := range runs {
			switch {
			case s == nil:
				c.fail("unasked", "%s ran at %s, but no caller sent it", id, run.Replica)
			case run.Method != s.method || run.Target != s.target || run.Body != s.body:
				c.fail("changed", "%s arrived as %s %s with %d bytes, not %s %s with %d", id, run.Method, run.Target, len(run.Body), s.method, s.target, len(s.body))
			case c.banned(s, run):
				c.fail("banned", "%s arrived at %s, which is draining or in an evacuated data centre", id, run.Replica)
			case run.Header.Get(site.HeaderTeam) != team || run.Header.Get("Authorization") != "":
				c.fail("key", "%s arrived for team %q with %q", id, run.Header.Get(site.HeaderTeam), run.Header.Get("Authorization"))
			}
		}
	}
}
