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
	// faultLookback is how long a fault may explain deviations after it has ended.
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
	// cancelLimit is the time after which replicas must have stopped work on a request that its
	// caller abandoned: the platform's limit of 0.5 s, doubled to allow for a busy machine.
	cancelLimit = time.Second
	// overlapLimit is how long a replica may still work on a stream that has been resumed at
	// another one: the platform's limit of 0.4 s.
	overlapLimit = 400 * time.Millisecond
	// maxUncancelled is the largest number of abandoned requests that replicas may still work
	// on after cancelLimit.
	maxUncancelled = 3
	// maxStatus is the highest status that HTTP has.
	maxStatus = 599
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
	afterRecovery, servedAfterRecovery := 0, 0
	for _, rec := range r.callers.records {
		recordsByID[rec.id] = rec
		ok := c.checkRequest(rec)
		if ok {
			served++
		}
		if rec.abandonedAt.IsZero() && rec.began.After(r.quietSince.Add(recoveryLimit)) && rec.ended.Before(r.quietSince.Add(quietPeriod)) && !rec.ended.IsZero() {
			afterRecovery++
			if ok {
				servedAfterRecovery++
			}
		}
	}
	c.checkReplicas(recordsByID)
	c.checkStageCalls()
	c.checkCancellation()
	c.checkBadParts(recordsByID)
	c.checkLimits(recordsByID)
	c.checkVersions()
	c.checkTakeUps(recordsByID)
	c.checkNotices(recordsByID)
	if afterRecovery < 10 || float64(servedAfterRecovery) < minServedRatio*float64(afterRecovery) {
		c.fail("recovery", "%d of %d requests were served from %v after the last fault", servedAfterRecovery, afterRecovery, recoveryLimit)
	}
	if served == 0 {
		c.fail("recovery", "no request was served")
	}
	return c.violations, served
}

// checker collects the violations of a run.
type checker struct {
	r          *Run
	runs       map[string][]site.Run // requests that replicas received, by ID
	count      map[string]int        // violations by kind, including those not reported
	violations []string
	// takenUp and wentOn count the streams that checkTakeUps has judged.
	takenUp, wentOn int
}

// fail records a violation, up to maxViolationsPerKind of each kind.
func (c *checker) fail(kind, format string, args ...any) {
	if c.count[kind]++; c.count[kind] <= maxViolationsPerKind {
		c.violations = append(c.violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// checkRequest checks one request and reports whether it was served completely.
func (c *checker) checkRequest(rec *requestRecord) bool {
	executed, replicas := 0, map[string]bool{}
	for _, run := range c.runs[rec.id] {
		if run.Executed {
			executed++
			replicas[run.Replica] = true
		}
	}
	if rec.atMostOnce && executed > 1 {
		c.fail("twice", "%s ran %d times", rec.id, executed)
	}
	if len(replicas) > rec.attempts {
		c.fail("attempts", "%s ran at %d replicas, %d are allowed", rec.id, len(replicas), rec.attempts)
	}
	c.checkOverlap(rec)
	if rec.atMostOnce && notExecutedStatuses[rec.status] && executed > 0 {
		c.fail("false promise", "%s was answered %d, but ran", rec.id, rec.status)
	}
	c.checkKeyless(rec)
	if rec.status == http.StatusUnauthorized && !c.r.mayBeUnauthorized(rec) || rec.status == http.StatusNotFound || rec.status == http.StatusBadRequest {
		c.fail("denied", "%s was answered %d", rec.id, rec.status)
	}
	if rec.status != 0 && (rec.status < http.StatusOK || rec.status > maxStatus) {
		c.fail("status", "%s was answered with the impossible status %d", rec.id, rec.status)
	}
	if rec.status == http.StatusOK {
		c.checkAnswer(rec)
	}
	if lost := c.checkLost(rec); !lost && rec.status == 0 && rec.err != nil && rec.abandonedAt.IsZero() && !rec.ended.IsZero() && executed > 0 &&
		!c.r.events.hadFault(c.exposure(rec, rec.began, rec.ended)) && !c.r.events.mayBeCut(rec, c.lastRun(rec)) {
		c.fail("cut", "%s at %s ran and got no answer, although no fault was active: %v", rec.id, rec.router, rec.err)
	}
	c.checkUnanswered(rec)
	return rec.status == http.StatusOK && rec.err == nil
}

// checkOverlap checks that a stream is resumed, at another replica or the same one, only after the
// previous run has stopped, allowing for overlapLimit.
func (c *checker) checkOverlap(rec *requestRecord) {
	runs := c.runs[rec.id]
	for i := range runs {
		for _, next := range runs[i+1:] {
			if rec.stream && runs[i].Executed && next.Executed && runs[i].Ended.Sub(next.Began) > overlapLimit &&
				!c.r.events.mayMissClose(c.exposure(rec, next.Began, runs[i].Ended)) {
				c.fail("overlap", "%s still ran at %s when %s had worked on it for %v", rec.id, runs[i].Replica, next.Replica, runs[i].Ended.Sub(next.Began))
			}
		}
	}
}

// checkAnswer checks the body of a 200 answer: complete if it ended without an error, else
// a prefix of the expected one.
func (c *checker) checkAnswer(rec *requestRecord) {
	want, answer := rec.expectedAnswer(), untagged(rec.answer)
	switch {
	case rec.err == nil && answer != want:
		c.fail("answer", "%s ended without an error, but its body is wrong: %q", rec.id, truncate(rec.answer))
	case rec.err != nil && !strings.HasPrefix(want, answer):
		c.fail("answer", "%s ended with an error, and its body is not a prefix of the expected answer: %q", rec.id, truncate(rec.answer))
	}
}

// exposure returns the router and replicas that a request used and the time span from
// faultLookback before from until till.
func (c *checker) exposure(rec *requestRecord, from, till time.Time) exposure {
	exposed := exposure{from: from.Add(-faultLookback), till: till, router: rec.router}
	for _, run := range c.runs[rec.id] {
		exposed.replicas = append(exposed.replicas, run.Replica)
	}
	return exposed
}

// checkCancellation checks that replicas stop work on abandoned requests. Requests that must
// run at most once are exempt, unless they are streams.
func (c *checker) checkCancellation() {
	uncancelled := 0
	for _, rec := range c.r.callers.records {
		if rec.abandonedAt.IsZero() || rec.atMostOnce && !rec.stream || c.r.events.mayMissClose(c.exposure(rec, rec.began, rec.abandonedAt.Add(cancelLimit))) {
			continue
		}
		for _, run := range c.runs[rec.id] {
			if run.Executed && (run.Ended.IsZero() || run.Ended.After(rec.abandonedAt.Add(cancelLimit))) {
				uncancelled++
				break
			}
		}
	}
	if uncancelled > maxUncancelled {
		c.fail("left behind", "replicas still worked on %d requests %v after their callers abandoned them", uncancelled, cancelLimit)
	}
}

// banned reports whether a request or a stage call arrived at a replica that must get no more, or
// whose data centre must. It makes an exception if a fault disturbed one of the routers or its
// access to the store within the limit before, because the router may then not know of the ban.
func (c *checker) banned(replica string, at time.Time, routers ...string) bool {
	centre := c.r.centreOf(replica)
	for _, e := range c.r.events.all {
		limit, targeted := drainLimit, slices.Contains(e.replicas, replica)
		if e.centre != "" {
			limit, targeted = evacuateLimit, e.centre == centre
		}
		if e.scope == scopeBanned && targeted && at.After(e.from.Add(limit)) && (e.till.IsZero() || at.Before(e.till)) &&
			!slices.ContainsFunc(routers, func(rt string) bool {
				return c.r.events.routerMayBeStale(exposure{at.Add(-limit), at, rt, nil})
			}) {
			return true
		}
	}
	return false
}

// truncate returns the first 200 bytes of s, or all of it.
func truncate(s string) string { return s[:min(len(s), 200)] }

// checkReplicas checks the requests that replicas received.
func (c *checker) checkReplicas(recordsByID map[string]*requestRecord) {
	for id, runs := range c.runs {
		rec := recordsByID[id]
		for _, run := range runs {
			switch {
			case rec == nil && strings.HasPrefix(id, "probe-"): // of probeConfig
			case rec == nil:
				c.fail("unasked", "%s ran at %s, but no caller sent it", id, run.Replica)
			case run.Method != rec.method || run.Target != rec.target || run.Body != rec.body && run.RetryAfter == "":
				c.fail("changed", "%s arrived as %s %s with %d bytes, not %s %s with %d", id, run.Method, run.Target, len(run.Body), rec.method, rec.target, len(rec.body))
			case c.banned(run.Replica, run.Began, rec.router):
				c.fail("banned", "%s arrived at %s, which is draining or in an evacuated data centre", id, run.Replica)
			case run.Header.Get(site.HeaderTeam) != team || run.Header.Get("Authorization") != "":
				c.fail("key", "%s arrived for team %q with %q", id, run.Header.Get(site.HeaderTeam), run.Header.Get("Authorization"))
			}
		}
	}
}

// checkStageCalls checks the stage calls that replicas received. Any router may have sent them, since
// it owns the queue of the service.
func (c *checker) checkStageCalls() {
	var routers []string
	for _, rt := range c.r.routers {
		routers = append(routers, rt.name)
	}
	for _, rp := range slices.Concat(c.r.replicas, c.r.removed) {
		for _, at := range rp.StageArrivals() {
			if c.banned(rp.ID, at, routers...) {
				c.fail("banned", "a stage call arrived at %s, which is draining or in an evacuated data centre", rp.ID)
			}
		}
	}
}
