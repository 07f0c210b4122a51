package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// regressions are seeds of runs that found something, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none: a seed of any kind"},
	{202, "the proxy passed on data of a connection after it had dropped some"},
}

// TestSoak guards against promises that break when real processes are stopped, paused
// and killed while their connections fail.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	program, err := Build(dir)
	assert.NilError(t, err)
	for _, c := range regressions {
		found, served, err := Execute(Options{Seed: c.seed, Routers: 3, Callers: 6, FaultDuration: 6 * time.Second, Dir: t.TempDir(), Program: program})
		assert.NilError(t, err)
		assert.Assert(t, len(found) == 0, "seed %d (%s): %v", c.seed, c.cause, found)
		assert.Assert(t, served > 0)
	}
}

// record is what callers and replicas saw of one request.
func record(s *requestRecord, runs ...site.Run) []string {
	c := &checker{r: &Run{}, runs: map[string][]site.Run{s.id: runs}, count: map[string]int{}}
	c.checkRequest(s)
	c.checkReplicas(map[string]*requestRecord{s.id: s})
	return c.violations
}

// TestChecker guards against a soak that passes because it does not see a broken
// promise.
func TestChecker(t *testing.T) {
	now := time.Unix(1000, 0)
	once := func() *requestRecord {
		return &requestRecord{id: "q1", method: "POST", target: "/once/1", body: "b", atMostOnce: true, attempts: 2, began: now, ended: now.Add(time.Second), status: 200, answer: site.Body("/once/1")}
	}
	run := func() site.Run {
		return site.Run{ID: "q1", Method: "POST", Target: "/once/1", Body: "b", Executed: true, Header: http.Header{"Tenant-Name": {team}}}
	}
	for _, tc := range []struct {
		name, kind string
		change     func(s *requestRecord, r *site.Run) (more []site.Run)
	}{
		{"all is well", "", func(*requestRecord, *site.Run) []site.Run { return nil }},
		{"it ran twice", "twice", func(_ *requestRecord, r *site.Run) []site.Run { return []site.Run{*r} }},
		{"refused although it ran", "false promise", func(s *requestRecord, _ *site.Run) []site.Run { s.status = 503; return nil }},
		{"denied", "denied", func(s *requestRecord, _ *site.Run) []site.Run { s.status = 401; return nil }},
		{"another answer", "answer", func(s *requestRecord, _ *site.Run) []site.Run { s.answer = site.Body("/once/2"); return nil }},
		{"a short answer that looks complete", "answer", func(s *requestRecord, _ *site.Run) []site.Run { s.answer = s.answer[:4]; return nil }},
		{"cut around planned work", "cut", func(s *requestRecord, _ *site.Run) []site.Run { s.status, s.err = 0, http.ErrServerClosed; return nil }},
		{"changed on the way", "changed", func(_ *requestRecord, r *site.Run) []site.Run { r.Body = "c"; return nil }},
		{"for another team", "key", func(_ *requestRecord, r *site.Run) []site.Run { r.Header.Set("Tenant-Name", "x"); return nil }},
		{"with the key", "key", func(_ *requestRecord, r *site.Run) []site.Run { r.Header.Set("Authorization", "x"); return nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, r := once(), run()
			more := tc.change(s, &r)
			found := record(s, append([]site.Run{r}, more...)...)
			if tc.kind == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Assert(t, len(found[0]) > len(tc.kind) && found[0][:len(tc.kind)] == tc.kind, "%v", found)
		})
	}
	stream := func(left time.Time, runs ...site.Run) (found []string) {
		s := once()
		s.atMostOnce, s.stream, s.leftAt = false, true, left
		s.answer = s.expectedAnswer()
		r := &Run{callers: &callers{}}
		c := &checker{r: r, runs: map[string][]site.Run{}, count: map[string]int{}}
		for i := range maxUncancelled + 1 { // callers; fewer may leave work behind
			one := *s
			one.id = string(rune('a' + i))
			r.callers.records = append(r.callers.records, &one)
			c.runs[one.id] = runs
			c.checkRequest(&one)
		}
		c.checkCancellation()
		return c.violations
	}
	at := func(replica string, from, till time.Duration) site.Run {
		r := run()
		r.Replica, r.Began, r.Ended = replica, now.Add(from), now.Add(till)
		return r
	}
	for _, tc := range []struct {
		name, kind string
		left       time.Time
		runs       []site.Run
	}{
		{"a stream at a third replica", "attempts", time.Time{}, []site.Run{at("e0", 0, 10), at("e1", 10, 20), at("e2", 20, 30)}},
		{"a stream that goes on after the first stopped", "", time.Time{}, []site.Run{at("e0", 0, time.Second), at("e1", time.Second-overlapLimit, 2*time.Second)}},
		{"a stream at two replicas at once", "overlap", time.Time{}, []site.Run{at("e0", 0, time.Second), at("e1", 0, time.Second)}},
		{"work ends after the caller left", "", now, []site.Run{at("e0", 0, cancelLimit)}},
		{"work goes on after the caller left", "left behind", now, []site.Run{at("e0", 0, 2*cancelLimit)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			found := stream(tc.left, tc.runs...)
			assert.Equal(t, len(found) > 0, tc.kind != "", "%v", found)
			for _, f := range found {
				assert.Assert(t, strings.HasPrefix(f, tc.kind), f)
			}
		})
	}
	t.Run("banned", func(t *testing.T) {
		for _, tc := range []struct {
			ban  event
			kind faultScope
			at   time.Duration
			want bool
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
			r.events.all = []*event{&tc.ban, {from: now, scope: tc.kind}}
			assert.Equal(t, (&checker{r: r}).banned(once(), at("e0", tc.at, tc.at)), tc.want, "%+v at %v", tc.ban, tc.at)
		}
	})
	t.Run("nobody asked", func(t *testing.T) {
		r := run()
		r.ID = "q9"
		c := &checker{r: &Run{}, runs: map[string][]site.Run{"q9": {r}}, count: map[string]int{}}
		c.checkReplicas(map[string]*requestRecord{})
		assert.Equal(t, len(c.violations), 1)
	})
}
