package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hornbeamcove.example/fakes/site"
)

// promise statuses say that the request has not run and never will.
var notExecutedStatuses = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

const (
	// faultLookback is the time before a request without faults, in which none may have
	// had an effect, for it to count as one around planned work only.
	faultLookback = 4 * time.Second
	// recoveryLimit is the time after the last fault after which all must be served.
	recoveryLimit = 2500 * time.Millisecond
	// minServedRatio is the part of the requests in calm time that must be served.
	minServedRatio = 0.97
	// evacuateLimit and drainLimit are the times after which a data centre that is out and a
	// replica that leaves get no more requests: the platform's 5 s and 3 s.
	evacuateLimit = 5 * time.Second
	drainLimit    = 3 * time.Second
	// cancelLimit is the time after which no replica works for a caller that left: the
	// platform's 0.5 s, and as much for a busy machine.
	cancelLimit = time.Second
	// overlapLimit is the time for which a replica may still work on a stream that goes
	// on at another one: the platform's 0.4 s.
	overlapLimit = 400 * time.Millisecond
	// maxUncancelled is the number of callers that may leave work behind.
	maxUncancelled = 3
	// maxViolationsPerKind bounds what is reported of one kind.
	maxViolationsPerKind = 5
)

// check compares the records of callers and replicas and returns what is broken, and
// the number of requests that were served.
func (r *Run) check() (found []string, served int) {
	c := &checker{r: r, runs: map[string][]site.Run{}, count: map[string]int{}}
	for _, run := range r.site.Runs() {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	known := map[string]*requestRecord{}
	calm, calmServed := 0, 0
	for _, s := range r.callers.records {
		known[s.id] = s
		ok := c.checkRequest(s)
		if ok {
			served++
		}
		if s.leftAt.IsZero() && s.began.After(r.quietSince.Add(recoveryLimit)) && s.ended.Before(r.quietSince.Add(quietPeriod)) && !s.ended.IsZero() {
			calm++
			if ok {
				calmServed++
			}
		}
	}
	c.checkReplicas(known)
	c.checkCancellation()
	if calm < 10 || float64(calmServed) < minServedRatio*float64(calm) {
		c.fail("recovery", "%d of %d requests are served %v after the last fault", calmServed, calm, recoveryLimit)
	}
	if served == 0 {
		c.fail("recovery", "no request was served")
	}
	return c.violations, served
}

type checker struct {
	r          *Run
	runs       map[string][]site.Run // by request
	count      map[string]int
	violations []string
}

func (c *checker) fail(kind, format string, args ...any) {
	if c.count[kind]++; c.count[kind] <= maxViolationsPerKind {
		c.violations = append(c.violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// checkRequest checks one request and reports whether it was served whole.
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
		c.fail("false promise", "%s was answered %d and ran", s.id, s.status)
	}
	if s.status == http.StatusUnauthorized || s.status == http.StatusNotFound || s.status == http.StatusBadRequest {
		c.fail("denied", "%s was answered %d", s.id, s.status)
	}
	if s.status == http.StatusOK {
		c.checkAnswer(s)
	}
	if s.status == 0 && s.err != nil && s.leftAt.IsZero() && !s.ended.IsZero() && executed > 0 && !c.r.events.hadFault(c.exposure(s, s.began, s.ended)) {
		c.fail("cut", "%s at %s ran and got no answer around planned work: %v", s.id, s.router, s.err)
	}
	return s.status == http.StatusOK && s.err == nil
}

// checkOverlap checks that a stream goes on at another replica only after the one before
// has stopped.
func (c *checker) checkOverlap(s *requestRecord) {
	runs := c.runs[s.id]
	for i := range runs {
		for _, next := range runs[i+1:] {
			if s.stream && runs[i].Executed && next.Executed && runs[i].Replica != next.Replica && runs[i].Ended.Sub(next.Began) > overlapLimit &&
				!c.r.events.mayMissClose(c.exposure(s, next.Began, runs[i].Ended)) {
				c.fail("overlap", "%s was still at %s when %s had worked on it for %v", s.id, runs[i].Replica, next.Replica, runs[i].Ended.Sub(next.Began))
			}
		}
	}
}

// checkAnswer checks the body of a success.
func (c *checker) checkAnswer(s *requestRecord) {
	whole := s.expectedAnswer()
	switch {
	case s.err == nil && s.answer != whole:
		c.fail("answer", "%s looks complete and is not its answer: %q", s.id, truncate(s.answer))
	case s.err != nil && !strings.HasPrefix(whole, s.answer):
		c.fail("answer", "%s has bytes of another answer: %q", s.id, truncate(s.answer))
	}
}

// exposure is what a request touched from shortly before one time up to another.
func (c *checker) exposure(s *requestRecord, from, till time.Time) exposure {
	w := exposure{from: from.Add(-faultLookback), till: till, router: s.router}
	for _, run := range c.runs[s.id] {
		w.replicas = append(w.replicas, run.Replica)
	}
	return w
}

// checkCancellation checks that replicas stop their work for callers that leave.
func (c *checker) checkCancellation() {
	left := 0
	for _, s := range c.r.callers.records {
		if s.leftAt.IsZero() || s.atMostOnce && !s.stream || c.r.events.mayMissClose(c.exposure(s, s.began, s.leftAt.Add(cancelLimit))) {
			continue
		}
		for _, run := range c.runs[s.id] {
			if run.Executed && (run.Ended.IsZero() || run.Ended.After(s.leftAt.Add(cancelLimit))) {
				left++
				break
			}
		}
	}
	if left > maxUncancelled {
		c.fail("left behind", "replicas still worked for %d callers %v after they had left", left, cancelLimit)
	}
}

// banned reports whether a run began where no request may go any more. The router has
// to know of it when it had the bound's time without a fault.
func (c *checker) banned(s *requestRecord, run site.Run) bool {
	centre := c.r.centreOf(run.Replica)
	for _, e := range c.r.events.all {
		limit, here := drainLimit, slices.Contains(e.replicas, run.Replica)
		if e.centre != "" {
			limit, here = evacuateLimit, e.centre == centre
		}
		if e.scope == scopeBanned && here && run.Began.After(e.from.Add(limit)) && (e.till.IsZero() || run.Began.Before(e.till)) &&
			!c.r.events.routerMayBeStale(exposure{run.Began.Add(-limit), run.Began, s.router, nil}) {
			return true
		}
	}
	return false
}

func truncate(s string) string { return s[:min(len(s), 200)] }

// checkReplicas checks what replicas were sent.
func (c *checker) checkReplicas(known map[string]*requestRecord) {
	for id, runs := range c.runs {
		s := known[id]
		for _, run := range runs {
			switch {
			case s == nil:
				c.fail("unasked", "%s ran at %s, and nobody sent it", id, run.Replica)
			case run.Method != s.method || run.Target != s.target || run.Body != s.body:
				c.fail("changed", "%s arrived as %s %s with %d bytes, not %s %s with %d", id, run.Method, run.Target, len(run.Body), s.method, s.target, len(s.body))
			case c.banned(s, run):
				c.fail("banned", "%s arrived at %s, which leaves or is in a data centre that is out", id, run.Replica)
			case run.Header.Get(site.HeaderTeam) != team || run.Header.Get("Authorization") != "":
				c.fail("key", "%s arrived for team %q with %q", id, run.Header.Get(site.HeaderTeam), run.Header.Get("Authorization"))
			}
		}
	}
}
