package entry

import (
	"io"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestMemberBoot guards against a router that its peers ignore for good, because the time of
// day was set back before it started again.
func TestMemberBoot(t *testing.T) {
	start := time.Now()
	for _, tc := range []struct {
		name  string
		boot  int64
		after time.Duration // since the first run was heard of
		taken bool
	}{
		{"a later run", 200, time.Millisecond, true},
		{"the former run, told by another router", 50, time.Millisecond, false},
		{"a run with an earlier time of day, after the former one fell silent", 50, ownerTimeout, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, err := New(Settings{Name: "r1", Level: "info"}, "", io.Discard)
			assert.NilError(t, err)
			merge := func(at time.Time, m Member) {
				s.peers.mu.Lock()
				defer s.peers.mu.Unlock()
				s.peers.mergeMember(at, m)
			}
			merge(start, Member{Name: "r2", Address: "old", Boot: 100})
			merge(start.Add(tc.after), Member{Name: "r2", Address: "new", Boot: tc.boot})
			want := wire.Address("old")
			if tc.taken {
				want = "new"
			}
			got, _ := s.peers.address("r2")
			assert.Equal(t, got, want)
		})
	}
}

// TestEndedPeer guards against a router that owns queues although its address refuses connections,
// because others report that they heard of it before, and against one that stays excluded after it
// was heard of again.
func TestEndedPeer(t *testing.T) {
	r := newRig(t)
	n := r.startRouter(0)
	now := time.Now()
	assertAlive := func(want bool) {
		t.Helper()
		assert.Equal(t, slices.Contains(n.peers.candidateNames(now), "r2"), want)
	}
	hear := func(at time.Time, boot int64) {
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
		n.peers.mergeMember(at, Member{Name: "r2", Address: "127.0.0.1:1", Boot: boot})
	}
	hear(now.Add(-200*time.Millisecond), 1)
	assertAlive(true)
	assert.Assert(t, n.peers.recordEnded(now, "r2"))
	assert.Assert(t, !n.peers.recordEnded(now, "r2"))
	assertAlive(false)
	hear(now.Add(-100*time.Millisecond), 1)
	assertAlive(false)
	t.Run("heard of again", func(t *testing.T) {
		hear(now.Add(time.Millisecond), 1)
		assertAlive(true)
	})
	assert.Assert(t, n.peers.recordEnded(now.Add(2*time.Millisecond), "r2"))
	t.Run("started again", func(t *testing.T) {
		hear(now.Add(2*time.Millisecond), 2)
		assertAlive(true)
	})
}
