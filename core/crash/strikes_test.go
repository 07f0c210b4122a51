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
