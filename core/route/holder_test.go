package route

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

func newEngines(n int) (es []Engine) {
	for i := range n {
		es = append(es, Engine{Upstream: wire.UpstreamID(fmt.Sprintf("e%02d", i))})
	}
	return es
}

// TestPickEngine guards against prompts with shared parts that go to different
// engines, and against one subject that overloads its engine.
func TestPickEngine(t *testing.T) {
	es := newEngines(12)
	key := PromptKey("a", "b")
	preferred := PickEngine(key, es)
	t.Run("same parts, same engine", func(t *testing.T) {
		assert.Equal(t, PickEngine(PromptKey("a", "b"), es), preferred)
	})
	t.Run("unchanged when another engine leaves", func(t *testing.T) {
		gone := (preferred + 1) % len(es)
		rest := append(append([]Engine{}, es[:gone]...), es[gone+1:]...)
		assert.Equal(t, rest[PickEngine(key, rest)].Upstream, es[preferred].Upstream)
	})
	t.Run("overloaded engine is skipped", func(t *testing.T) {
		overloaded := append([]Engine{}, es...)
		overloaded[preferred].Load = 40
		assert.Assert(t, PickEngine(key, overloaded) != preferred)
	})
	t.Run("an engine that holds much gets more", func(t *testing.T) {
		loaded := append([]Engine{}, es...)
		loaded[preferred].Load = 5
		i, reason := PickHolder(key, loaded, Demand{Shared: 3})
		assert.Assert(t, i == preferred && reason == ReasonHolder)
		loaded[preferred].Load = 9
		i, reason = PickHolder(key, loaded, Demand{Shared: 3})
		assert.Assert(t, i != preferred && reason == ReasonSpill)
	})
	t.Run("holders in demand share the prompts", func(t *testing.T) {
		loaded := append([]Engine{}, es...)
		loaded[preferred].Load = 2
		i, _ := PickHolder(key, loaded, Demand{})
		assert.Equal(t, i, preferred)
		i, reason := PickHolder(key, loaded, Demand{Holders: 2})
		assert.Assert(t, i == RendezvousOrder(key, es)[1] && reason == ReasonSecondHolder)
	})
	t.Run("slow engine is skipped", func(t *testing.T) {
		slow := append([]Engine{}, es...)
		for i := range slow {
			slow[i].Load, slow[i].Factor = 4, 1
		}
		slow[preferred].Factor = 2.5
		i, _ := PickHolder(key, slow, Demand{Confidence: 1})
		assert.Assert(t, i != preferred)
	})
	t.Run("failing engine is skipped", func(t *testing.T) {
		failing := append([]Engine{}, es...)
		failing[preferred].Penalty = 10
		assert.Assert(t, PickEngine(key, failing) != preferred)
	})
	t.Run("all overloaded, least loaded is chosen", func(t *testing.T) {
		full := newEngines(3)
		for i := range full {
			full[i].Load, full[i].Penalty = 10, 50
		}
		full[1].Penalty = 20
		assert.Equal(t, PickEngine(key, full), 1)
	})
	t.Run("no engines", func(t *testing.T) {
		assert.Equal(t, PickEngine(key, nil), -1)
	})
}

// TestRendezvousOrderWeights guards against engines that attract more prompts than
// the stage upstreams near them can produce results for.
func TestRendezvousOrderWeights(t *testing.T) {
	es := newEngines(3)
	es[0].Weight, es[1].Weight, es[2].Weight = 2, 2, 1
	counts := make([]int, len(es))
	const keys = 10_000
	for i := range keys {
		counts[RendezvousOrder(PromptKey(fmt.Sprint(i)), es)[0]]++
	}
	for i, want := range []float64{0.4, 0.4, 0.2} {
		got := float64(counts[i]) / keys
		assert.Assert(t, got > want-0.03 && got < want+0.03, "engine %d has %.3f of the prompts, want about %.1f", i, got, want)
	}
}

func TestPromptKey(t *testing.T) {
	assert.Assert(t, PromptKey("ab", "c") != PromptKey("a", "bc"))
	assert.Assert(t, PromptKey() != PromptKey(""))
}

// TestOwner guards against a change of every queue's owner when one router leaves.
func TestOwner(t *testing.T) {
	names := []wire.HostID{"r1", "r2", "r3", "r4"}
	owned := 0
	for i := range 100 {
		key := fmt.Sprint("service", i)
		before := Owner(key, names)
		after := Owner(key, names[:3])
		if before != "r4" {
			assert.Equal(t, after, before)
			continue
		}
		owned++
	}
	assert.Assert(t, owned > 10 && owned < 40, "one of four routers owned %d of 100 queues", owned)
	assert.Equal(t, Owner("x", nil), wire.HostID(""))
}

// TestOutlierDetector guards against keeping upstreams that fail part of their requests
// while their health check passes, and against ejecting the upstreams of a service
// that fails part of its requests on every upstream.
func TestOutlierDetector(t *testing.T) {
	now := time.Unix(1000, 0)
	record := func(o *OutlierDetector, n int, fails func(int) bool) {
		for i := range n {
			now = now.Add(100 * time.Millisecond)
			if fails(i) {
				o.RecordFailure(now)
			} else {
				o.RecordSuccess(now, 1)
			}
		}
	}
	t.Run("half of the responses fail", func(t *testing.T) {
		o := new(OutlierDetector)
		record(o, 10, func(i int) bool { return i%2 == 0 })
		assert.Assert(t, o.Ejected(now))
	})
	t.Run("a seventh of the responses fails", func(t *testing.T) {
		o := new(OutlierDetector)
		record(o, 70, func(i int) bool { return i%7 == 6 })
		assert.Assert(t, !o.Ejected(now))
	})
	t.Run("one failure", func(t *testing.T) {
		o := new(OutlierDetector)
		o.RecordFailure(now)
		assert.Assert(t, !o.Ejected(now))
		assert.Assert(t, o.Penalty(now) > 0)
	})
	t.Run("unreachable, then available again", func(t *testing.T) {
		o := new(OutlierDetector)
		o.RecordUnreachable(now)
		assert.Assert(t, o.Ejected(now))
		assert.Assert(t, !o.Ejected(now.Add(minEjectionTime)))
	})
	t.Run("ejection time doubles", func(t *testing.T) {
		o := new(OutlierDetector)
		o.RecordUnreachable(now)
		now = now.Add(minEjectionTime)
		o.RecordUnreachable(now)
		assert.Assert(t, o.Ejected(now.Add(minEjectionTime)))
		assert.Assert(t, !o.Ejected(now.Add(2*minEjectionTime)))
	})
	t.Run("slow responses raise the penalty", func(t *testing.T) {
		o := new(OutlierDetector)
		for range 20 {
			o.RecordSuccess(now, 5)
		}
		assert.Assert(t, o.Penalty(now) > 2)
	})
	t.Run("rejection counts less than failure", func(t *testing.T) {
		o, f := new(OutlierDetector), new(OutlierDetector)
		o.RecordRejection(now)
		f.RecordFailure(now)
		assert.Assert(t, o.Penalty(now) < f.Penalty(now))
	})
}

// TestRank guards against routers that disagree on their order, or that take the same place.
func TestRank(t *testing.T) {
	names := []wire.HostID{"r1", "r2", "r3", "r4", "r5"}
	first := map[wire.HostID]int{}
	for i := range 50 {
		key := strconv.Itoa(i)
		places := map[int]wire.HostID{}
		for _, n := range names {
			places[Rank(key, names, n)] = n
		}
		assert.Equal(t, len(places), len(names))
		assert.Equal(t, places[0], Owner(key, names))
		first[places[0]]++
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		assert.Equal(t, Rank(key, reversed, "r3"), Rank(key, names, "r3"))
	}
	assert.Equal(t, len(first), len(names), "each router comes first for some keys")
	assert.Equal(t, Rank("k", names, "r6"), -1)
	assert.Equal(t, Rank("k", nil, "r1"), -1)
}
