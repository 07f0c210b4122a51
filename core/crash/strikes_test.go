package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestStrikes guards against a request that crashes one upstream after another because
// its caller retries it, and against refusing a request after fewer than three crashes.
func TestStrikes(t *testing.T) {
	now := time.Unix(1000, 0)
	addStrikes := func(s *Strikes, ups ...int) {
		for _, u := range ups {
			s.Add(now, Strike{Print: "p", Upstream: wire.UpstreamID(fmt.Sprint("u", u)), Born: 1})
		}
	}
	t.Run("two crashes", func(t *testing.T) {
		s := new(Strikes)
		addStrikes(s, 1, 2)
		assert.Assert(t, !s.Blocked(now, "p"))
	})
	t.Run("three crashes", func(t *testing.T) {
		s := new(Strikes)
		addStrikes(s, 1, 2, 3)
		assert.Assert(t, s.Blocked(now, "p"))
		assert.Assert(t, !s.Blocked(now, "q"))
	})
	t.Run("same crash reported by several routers", func(t *testing.T) {
		s := new(Strikes)
		addStrikes(s, 1, 1, 1, 2)
		assert.Assert(t, !s.Blocked(now, "p"))
		assert.Equal(t, len(s.Recent(now, time.Second)), 2)
	})
	t.Run("another process of the same upstream", func(t *testing.T) {
		s := new(Strikes)
		addStrikes(s, 1, 2)
		s.Add(now, Strike{Print: "p", Upstream: "u1", Born: 2})
		assert.Assert(t, s.Blocked(now, "p"))
	})
	t.Run("a success clears", func(t *testing.T) {
		s := new(Strikes)
		addStrikes(s, 1, 2, 3)
		s.Clear("p")
		assert.Assert(t, !s.Blocked(now, "p"))
	})
	t.Run("old strikes expire", func(t *testing.T) {
		s := new(Strikes)
		addStrikes(s, 1, 2, 3)
		assert.Assert(t, !s.Blocked(now.Add(strikeLifetime+time.Second), "p"))
		assert.Equal(t, len(s.Recent(now.Add(time.Minute), time.Second)), 0)
	})
	t.Run("number of strikes is limited", func(t *testing.T) {
		s := new(Strikes)
		for i := range maxStrikes + 10 {
			s.Add(now.Add(time.Duration(i)), Strike{Print: wire.Fingerprint(fmt.Sprint(i))})
		}
		assert.Equal(t, len(s.Recent(now, time.Hour)), maxStrikes)
	})
}

// TestStrikesRestart guards against a router that starts after the last crash of a blocked
// request and runs it again, and against a block that routers renew among themselves.
func TestStrikesRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	old := new(Strikes)
	for i := range 3 {
		old.Add(now, Strike{Print: "p", Upstream: wire.UpstreamID(fmt.Sprint(i)), Born: 1})
	}
	old.Add(now, Strike{Print: "q", Upstream: "u", Born: 1})
	started := new(Strikes)
	for s := 60; s < 240; s += 10 {
		at := now.Add(time.Duration(s) * time.Second)
		started.Merge(at, old.Blocks(at))
		old.Merge(at, started.Blocks(at))
		assert.Equal(t, started.Blocked(at, "p"), s <= 120, "%d s", s)
		assert.Equal(t, len(started.Counts(at)) > 0, s <= 120)
	}
	started.Merge(now, []AgedStrike{{Strike{Print: "p"}, -time.Hour}, {Strike{Print: "p", Born: 1}, time.Hour}})
	assert.Equal(t, len(started.Counts(now)), 0)
}
