package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// regressions are seeds of runs that have found violations, with their causes.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none: an arbitrary seed"},
	{202, "the proxy forwarded data of a connection after it had dropped some"},
	{41003, "streams went on at another software version, and upstreams that wanted no requests got some"},
}

// TestSoak guards against invariants that are violated when real router processes are
// stopped, paused and killed while their connections fail.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	program, err := Build(dir)
	assert.NilError(t, err)
	for _, c := range regressions {
		violations, served, err := Execute(Options{Seed: c.seed, Routers: 3, Callers: 6, FaultDuration: 6 * time.Second, Dir: t.TempDir(), Program: program})
		assert.NilError(t, err)
		assert.Assert(t, len(violations) == 0, "seed %d (%s): %v", c.seed, c.cause, violations)
		assert.Assert(t, served > 0)
	}
}

// assertNoViolation runs the soak with three routers once for each seed.
func assertNoViolation(t *testing.T, o Options, seeds ...uint64) {
	t.Helper()
	program, err := Build(t.TempDir())
	assert.NilError(t, err)
	o.Routers, o.Program = 3, program
	for _, seed := range seeds {
		o.Seed, o.Dir = seed, t.TempDir()
		violations, served, err := Execute(o)
		assert.NilError(t, err)
		assert.Assert(t, len(violations) == 0, "seed %d: %v", seed, violations)
		assert.Assert(t, served > 0)
	}
}

// TestSoakSilences guards against answers that are lost when sound replicas fall silent beside
// planned stops under load, and against streams that run at two replicas then.
func TestSoakSilences(t *testing.T) {
	assertNoViolation(t, Options{Callers: 6, FaultDuration: 6 * time.Second, Silences: true, PlannedOnly: true}, 80001, 80002)
}

// TestSoakChanges guards against requests that end without an answer beside configurations in quick
// succession, routers with a processor quota, silent replicas and stops under load.
func TestSoakChanges(t *testing.T) {
	assertNoViolation(t, Options{Callers: 6, FaultDuration: 6 * time.Second, Changes: true, PlannedOnly: true}, 10501, 10702)
}

// TestSoakMoves guards against stage calls to replicas that leave, or whose data centre is taken out,
// after their service was dropped while requests wait for it.
func TestSoakMoves(t *testing.T) {
	assertNoViolation(t, Options{Callers: 12, FaultDuration: 10 * time.Second, Moves: true, PlannedOnly: true}, 110001, 110003)
}

// TestSoakEdges guards against streams that are cut when all replicas but a silent one are full, and
// against configurations that are not followed because they have no team or an unusual order of stages.
func TestSoakEdges(t *testing.T) {
	assertNoViolation(t, Options{Callers: 12, FaultDuration: 6 * time.Second, Edges: true, PlannedOnly: true}, 120003, 120004)
}

// TestSoakAnswers guards against false promises, changed answers and memory without bound while
// replicas send answers without end, twice, or with an ambiguous end.
func TestSoakAnswers(t *testing.T) {
	program, err := Build(t.TempDir())
	assert.NilError(t, err)
	violations, served, err := Execute(Options{
		Seed: 20401, Routers: 3, Callers: 24, FaultDuration: 6 * time.Second, Dir: t.TempDir(), Program: program,
		Answers: true, PlannedOnly: true,
	})
	assert.NilError(t, err)
	assert.Assert(t, len(violations) == 0, "%v", violations)
	assert.Assert(t, served > 0)
}

// checkOne returns the violations found for one request that replicas received as runs.
func checkOne(rec *requestRecord, runs ...site.Run) []string {
	c := &checker{r: &Run{}, runs: map[string][]site.Run{rec.id: runs}, count: map[string]int{}}
	c.checkRequest(rec)
	c.checkReplicas(map[string]*requestRecord{rec.id: rec})
	return c.violations
}

// TestChecker guards against a soak that passes because the checker misses a violation.
func TestChecker(t *testing.T) {
	now := time.Unix(1000, 0)
	newRecord := func() *requestRecord {
		return &requestRecord{id: "q1", method: "POST", target: "/once/1", body: "b", atMostOnce: true, attempts: 2, began: now, ended: now.Add(time.Second), timeout: requestTimeout, status: 200, answer: site.Body("/once/1")}
	}
	newRun := func() site.Run {
		return site.Run{ID: "q1", Method: "POST", Target: "/once/1", Body: "b", Executed: true, Header: http.Header{"Tenant-Name": {team}}}
	}
	for _, tc := range []struct {
		name, kind string
		change     func(rec *requestRecord, r *site.Run) (more []site.Run)
	}{
		{"no violation", "", func(*requestRecord, *site.Run) []site.Run { return nil }},
		{"executed twice", "twice", func(_ *requestRecord, r *site.Run) []site.Run { return []site.Run{*r} }},
		{"refused although executed", "false promise", func(rec *requestRecord, _ *site.Run) []site.Run { rec.status = 503; return nil }},
		{"denied", "denied", func(rec *requestRecord, _ *site.Run) []site.Run { rec.status = 401; return nil }},
		{"impossible status", "status", func(rec *requestRecord, _ *site.Run) []site.Run { rec.status = 600; return nil }},
		{"another answer", "answer", func(rec *requestRecord, _ *site.Run) []site.Run { rec.answer = site.Body("/once/2"); return nil }},
		{"a truncated answer without an error", "answer", func(rec *requestRecord, _ *site.Run) []site.Run { rec.answer = rec.answer[:4]; return nil }},
		{"cut without a fault", "lost", func(rec *requestRecord, _ *site.Run) []site.Run {
			rec.status, rec.err = 0, http.ErrServerClosed
			return nil
		}},
		{"no answer until the deadline", "cut", func(rec *requestRecord, _ *site.Run) []site.Run {
			rec.status, rec.err, rec.ended = 0, http.ErrHandlerTimeout, now.Add(requestTimeout)
			return nil
		}},
		{"changed in transit", "changed", func(_ *requestRecord, r *site.Run) []site.Run { r.Body = "c"; return nil }},
		{"for another team", "key", func(_ *requestRecord, r *site.Run) []site.Run { r.Header.Set("Tenant-Name", "x"); return nil }},
		{"with the caller's key", "key", func(_ *requestRecord, r *site.Run) []site.Run { r.Header.Set("Authorization", "x"); return nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rec, r := newRecord(), newRun()
			more := tc.change(rec, &r)
			violations := checkOne(rec, append([]site.Run{r}, more...)...)
			if tc.kind == "" {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Equal(t, len(violations), 1, "%v", violations)
			assert.Assert(t, len(violations[0]) > len(tc.kind) && violations[0][:len(tc.kind)] == tc.kind, "%v", violations)
		})
	}
	checkStream := func(abandonedAt time.Time, runs ...site.Run) (violations []string) {
		rec := newRecord()
		rec.atMostOnce, rec.stream, rec.abandonedAt = false, true, abandonedAt
		rec.answer = rec.expectedAnswer()
		r := &Run{callers: &callers{}}
		c := &checker{r: r, runs: map[string][]site.Run{}, count: map[string]int{}}
		for i := range maxUncancelled + 1 { // one more than is tolerated
			duplicate := *rec
			duplicate.id = string(rune('a' + i))
			r.callers.records = append(r.callers.records, &duplicate)
			c.runs[duplicate.id] = runs
			c.checkRequest(&duplicate)
		}
		c.checkCancellation()
		return c.violations
	}
	runAt := func(replica string, from, till time.Duration) site.Run {
		r := newRun()
		r.Replica, r.Began, r.Ended = replica, now.Add(from), now.Add(till)
		return r
	}
	for _, tc := range []struct {
		name, kind  string
		abandonedAt time.Time
		runs        []site.Run
	}{
		{"a stream at a third replica", "attempts", time.Time{}, []site.Run{runAt("e0", 0, 10), runAt("e1", 10, 20), runAt("e2", 20, 30)}},
		{"a stream back at its first replica", "", time.Time{}, []site.Run{runAt("e0", 0, 10), runAt("e1", 10, 20), runAt("e0", 20, 30)}},
		{"a stream twice at one replica at once", "overlap", time.Time{}, []site.Run{runAt("e0", 0, time.Second), runAt("e0", 0, time.Second)}},
		{"a stream resumed after the first replica stopped", "", time.Time{}, []site.Run{runAt("e0", 0, time.Second), runAt("e1", time.Second-overlapLimit, 2*time.Second)}},
		{"a stream at two replicas at once", "overlap", time.Time{}, []site.Run{runAt("e0", 0, time.Second), runAt("e1", 0, time.Second)}},
		{"work ends in time after the caller left", "", now, []site.Run{runAt("e0", 0, cancelLimit)}},
		{"work continues after the caller left", "left behind", now, []site.Run{runAt("e0", 0, 2*cancelLimit)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			violations := checkStream(tc.abandonedAt, tc.runs...)
			assert.Equal(t, len(violations) > 0, tc.kind != "", "%v", violations)
			for _, v := range violations {
				assert.Assert(t, strings.HasPrefix(v, tc.kind), v)
			}
		})
	}
	t.Run("banned", func(t *testing.T) {
		for _, tc := range []struct {
			ban   event
			scope eventScope
			at    time.Duration
			want  bool
		}{
			{event{replicas: []string{"e0"}}, scopePlanned, drainLimit, false},
			{event{replicas: []string{"e0"}}, scopePlanned, drainLimit + 1, true},
			{event{replicas: []string{"e1"}}, scopePlanned, drainLimit + 1, false},
			{event{centre: "a"}, scopePlanned, evacuateLimit, false},
			{event{centre: "a"}, scopePlanned, evacuateLimit + 1, true},
			{event{centre: "b"}, scopePlanned, evacuateLimit + 1, false},
			{event{centre: "a", till: now.Add(time.Second)}, scopePlanned, evacuateLimit + 1, false},
			{event{centre: "a"}, scopeStore, evacuateLimit + 1, false},
		} {
			r := &Run{replicas: []*replica{{Replica: &site.Replica{ID: "e0", Centre: "a"}}}}
			tc.ban.from, tc.ban.scope = now, scopeBanned
			r.events.all = []*event{&tc.ban, {from: now, scope: tc.scope}}
			assert.Equal(t, (&checker{r: r}).banned("e0", now.Add(tc.at), newRecord().router), tc.want, "%+v at %v", tc.ban, tc.at)
		}
	})
	t.Run("never sent", func(t *testing.T) {
		r := newRun()
		r.ID = "q9"
		c := &checker{r: &Run{}, runs: map[string][]site.Run{"q9": {r}}, count: map[string]int{}}
		c.checkReplicas(map[string]*requestRecord{})
		assert.Equal(t, len(c.violations), 1)
	})
}

// TestClaims guards against two events that drain the same replica or evacuate the same
// data centre at once: the first to end lifts the ban of both, and the checker then reports
// requests that were allowed.
func TestClaims(t *testing.T) {
	for _, tc := range []struct {
		name, target string
		inject       func(*Run, *rand.Rand, *event)
	}{{"drain", "desk-0", drainReplica}, {"evacuation", "a", evacuateCentre}} {
		t.Run(tc.name, func(t *testing.T) {
			s, err := site.New()
			assert.NilError(t, err)
			defer s.Close()
			r := &Run{site: s, replicas: []*replica{{Replica: &site.Replica{ID: "desk-0", Service: "desk", Centre: "a"}}}}
			defer func(all []string) { centres = all }(centres)
			centres = []string{"a"}
			assert.Assert(t, r.claims.claim(tc.target))
			tc.inject(r, rand.New(rand.NewPCG(1, 2)), r.events.begin(tc.name, scopeBanned))
			assert.Equal(t, len(r.events.all), 0, "the event took place beside another one")
			r.claims.release(tc.target)
			e := r.events.begin(tc.name, scopeBanned)
			tc.inject(r, rand.New(rand.NewPCG(1, 2)), e)
			assert.Equal(t, len(r.events.all), 1)
			assert.Assert(t, r.claims.claim(tc.target), "the claim was not released")
		})
	}
}

// TestStreamChecks guards against a soak that misses streams which are joined from two software
// versions or lost, and requests to replicas that leave or want none.
func TestStreamChecks(t *testing.T) {
	now := time.Unix(1000, 0)
	event := func(version string, n int) string {
		return strings.TrimSuffix(site.Event("/resume/1", n), "\n") + site.TagPrefix + version + "\n\n"
	}
	check := func(records []*requestRecord, runs map[string][]site.Run) []string {
		c := &checker{r: &Run{callers: &callers{records: records}, engines: []engineLife{{"e0", "v1", now.Add(-time.Hour), time.Time{}}, {"e1", "v1", now.Add(-time.Hour), time.Time{}}}}, runs: runs, count: map[string]int{}}
		byID := map[string]*requestRecord{}
		for _, rec := range records {
			byID[rec.id] = rec
		}
		c.checkVersions()
		c.checkTakeUps(byID)
		c.checkNotices(byID)
		return c.violations
	}
	first := func(answer string) *requestRecord {
		return &requestRecord{id: "q1", stream: true, router: "r0", began: now, ended: now.Add(time.Second), status: 200, answer: answer, err: http.ErrServerClosed}
	}
	again := func(answer string) *requestRecord {
		return &requestRecord{id: "q2", stream: true, router: "r1", began: now.Add(time.Second), ended: now.Add(2 * time.Second), status: 200, answer: answer, resumes: "q1", after: 1}
	}
	lost := func(status int) (records []*requestRecord) {
		records = append(records, first(event("v1", 1)))
		for range minTakeUps {
			rec := again("")
			rec.status = status
			records = append(records, rec)
		}
		return records
	}
	visits := func(gap time.Duration, n int, run site.Run) (records []*requestRecord, runs map[string][]site.Run) {
		runs = map[string][]site.Run{}
		for i := range n + 1 {
			rec := &requestRecord{id: string(rune('a' + i)), router: "r0", began: now, ended: now, status: 200}
			run.ID, run.Replica, run.Began, run.Ended = rec.id, "d0", now, now
			if i > 0 {
				rec.began, run.Began, run.Ended = now.Add(gap), now.Add(gap), now.Add(gap)
			}
			records, runs[rec.id] = append(records, rec), []site.Run{run}
		}
		return records, runs
	}
	for _, tc := range []struct {
		name, kind string
		play       func() []string
	}{
		{"one version", "", func() []string {
			return check([]*requestRecord{first(event("v1", 1)), again(event("v1", 2))}, nil)
		}},
		{"two versions in one answer", "versions", func() []string {
			return check([]*requestRecord{first(event("v1", 1) + event("v2", 2))}, nil)
		}},
		{"two versions over two attempts", "versions", func() []string {
			return check([]*requestRecord{first(event("v1", 1)), again(event("v2", 2))}, nil)
		}},
		{"taken up and served", "", func() []string { return check(lost(http.StatusOK), nil) }},
		{"taken up and refused", "lost streams", func() []string { return check(lost(http.StatusServiceUnavailable), nil) }},
		{"leaving, in time", "", func() []string { return check(visits(drainLimit, 1, site.Run{Leaving: true})) }},
		{"leaving, late", "leaving", func() []string { return check(visits(drainLimit+1, 1, site.Run{Leaving: true})) }},
		{"pause, allowed", "", func() []string { return check(visits(pauseDelay+1, pauseAllowed, site.Run{RetryAfter: "1.5"})) }},
		{"pause", "pause", func() []string { return check(visits(pauseDelay+1, pauseAllowed+1, site.Run{RetryAfter: "1.5"})) }},
		{"pause is over", "", func() []string {
			return check(visits(1500*time.Millisecond, pauseAllowed+1, site.Run{RetryAfter: "1.5"}))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			violations := tc.play()
			assert.Equal(t, len(violations) > 0, tc.kind != "", "%v", violations)
			for _, v := range violations {
				assert.Assert(t, strings.HasPrefix(v, tc.kind+":"), v)
			}
		})
	}
}
