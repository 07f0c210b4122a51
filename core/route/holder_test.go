package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

func engines(n int) (es []Engine) {
	for i := range n {
		es = append(es, Engine{Upstream: wire.UpstreamID(fmt.Sprintf("e%02d", i))})
	}
	return es
}

// TestHolder guards against prompts that share parts and meet at different engines,
// and against one subject that overloads its engine.
func TestHolder(t *testing.T) {
	es := engines(12)
	key := PromptKey("a", "b")
	home := PickEngine(key, es)
	t.Run("same parts, same engine", func(t *testing.T) {
		assert.Equal(t, PickEngine(PromptKey("a", "b"), es), home)
	})
	t.Run("it stays when others leave", func(t *testing.T) {
		gone := (home + 1) % len(es)
		rest := append(append([]Engine{}, es[:gone]...), es[gone+1:]...)
		assert.Equal(t, rest[PickEngine(key, rest)].Upstream, es[home].Upstream)
	})
	t.Run("a loaded engine passes on", func(t *testing.T) {
		hot := append([]Engine{}, es...)
		hot[home].Load = 40
		assert.Assert(t, PickEngine(key, hot) != home)
	})
	t.Run("a failing engine passes on", func(t *testing.T) {
		bad := append([]Engine{}, es...)
		bad[home].Penalty = 10
		assert.Assert(t, PickEngine(key, bad) != home)
	})
	t.Run("all loaded, the least is chosen", func(t *testing.T) {
		full := engines(3)
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

// TestOrderWeights guards against engines that draw more prompts than the stage
// upstreams near them can make results for.
func TestOrderWeights(t *testing.T) {
	es := engines(3)
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

func TestKey(t *testing.T) {
	assert.Assert(t, PromptKey("ab", "c") != PromptKey("a", "bc"))
	assert.Assert(t, PromptKey() != PromptKey(""))
}

// TestOwner guards against queues that all move when one router leaves.
func TestOwner(t *testing.T) {
	names := []wire.HostID{"r1", "r2", "r3", "r4"}
	moved := 0
	for i := range 100 {
		key := fmt.Sprint("service", i)
		before := Owner(key, names)
		after := Owner(key, names[:3])
		if before != "r4" {
			assert.Equal(t, after, before)
			continue
		}
		moved++
	}
	assert.Assert(t, moved > 10 && moved < 40, "%d of 100 queues belonged to one of four routers", moved)
	assert.Equal(t, Owner("x", nil), wire.HostID(""))
}

// TestOutlier guards against upstreams that fail part of their work while their
// health check is good, and against excluding a service that fails by itself.
func TestOutlier(t *testing.T) {
	now := time.Unix(1000, 0)
	step := func(o *OutlierDetector, n int, bad func(int) bool) {
		for i := range n {
			now = now.Add(100 * time.Millisecond)
			if bad(i) {
				o.RecordFailure(now)
			} else {
				o.RecordSuccess(now, 1)
			}
		}
	}
	t.Run("half of the answers fail", func(t *testing.T) {
		o := new(OutlierDetector)
		step(o, 10, func(i int) bool { return i%2 == 0 })
		assert.Assert(t, o.Ejected(now))
	})
	t.Run("a seventh fails by itself", func(t *testing.T) {
		o := new(OutlierDetector)
		step(o, 70, func(i int) bool { return i%7 == 6 })
		assert.Assert(t, !o.Ejected(now))
	})
	t.Run("one failure", func(t *testing.T) {
		o := new(OutlierDetector)
		o.RecordFailure(now)
		assert.Assert(t, !o.Ejected(now))
		assert.Assert(t, o.Penalty(now) > 0)
	})
	t.Run("unreachable, then back", func(t *testing.T) {
		o := new(OutlierDetector)
		o.RecordUnreachable(now)
		assert.Assert(t, o.Ejected(now))
		assert.Assert(t, !o.Ejected(now.Add(minEjectionTime)))
	})
	t.Run("longer each time", func(t *testing.T) {
		o := new(OutlierDetector)
		o.RecordUnreachable(now)
		now = now.Add(minEjectionTime)
		o.RecordUnreachable(now)
		assert.Assert(t, o.Ejected(now.Add(minEjectionTime)))
		assert.Assert(t, !o.Ejected(now.Add(2*minEjectionTime)))
	})
	t.Run("slow answers weigh", func(t *testing.T) {
		o := new(OutlierDetector)
		for range 20 {
			o.RecordSuccess(now, 5)
		}
		assert.Assert(t, o.Penalty(now) > 2)
	})
	t.Run("rejections weigh less than failures", func(t *testing.T) {
		o, f := new(OutlierDetector), new(OutlierDetector)
		o.RecordRejection(now)
		f.RecordFailure(now)
		assert.Assert(t, o.Penalty(now) < f.Penalty(now))
	})
}
