package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOffers guards against configurations sent to peers that read them by themselves, and
// against sending them without pause to one that doesn't answer.
func TestOffers(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	var f Offers
	sent := 0
	for d := time.Duration(0); d < 5*time.Second; d += 100 * time.Millisecond {
		if f.Due(at(d), "r2", 3, 5) {
			sent++
		}
		assert.Assert(t, !f.Due(at(d), "r3", Version(4+d/(200*time.Millisecond)), 5))
		assert.Assert(t, !f.Due(at(d), "r4", 6, 5))
	}
	assert.Equal(t, sent, 5)
	t.Run("caught up", func(t *testing.T) {
		assert.Assert(t, !f.Due(at(6*time.Second), "r2", 5, 5))
		assert.Assert(t, !f.Due(at(7*time.Second), "r2", 5, 6))
		assert.Assert(t, f.Due(at(8*time.Second), "r2", 5, 6))
	})
}

// TestNewestVersion guards against a router that refuses while a change is on its way, or for ever
// because of a version that only a lost peer had.
func TestNewestVersion(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	for _, tc := range []struct {
		name   string
		heard  time.Duration // until when a peer has version 7
		asked  time.Duration
		own    Version
		expect bool
	}{
		{"on its way", 800 * time.Millisecond, 900 * time.Millisecond, 5, false},
		{"outdated", 3 * time.Second, 3 * time.Second, 5, true},
		{"reached", 3 * time.Second, 3 * time.Second, 7, false},
		{"ahead", 3 * time.Second, 3 * time.Second, 8, false},
		{"peer lost", 3 * time.Second, 5 * time.Second, 5, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l NewestVersion
			for d := time.Duration(0); d <= tc.heard; d += 100 * time.Millisecond {
				l.Heard(at(d), 7, 5)
				l.Heard(at(d), 5, 5) // another peer that is behind as well
			}
			assert.Equal(t, l.Outdates(at(tc.asked), tc.own), tc.expect)
		})
	}
	t.Run("versions in quick succession", func(t *testing.T) {
		var l NewestVersion
		for d := time.Duration(0); d <= 2*time.Second; d += 100 * time.Millisecond {
			l.Heard(at(d), Version(10+d/time.Millisecond), 5)
		}
		assert.Assert(t, l.Outdates(at(2*time.Second), 5))
	})
	t.Run("followed two versions later", func(t *testing.T) {
		var l NewestVersion
		for d := time.Duration(0); d <= 20*time.Second; d += 100 * time.Millisecond {
			its := Version(10 + d/(300*time.Millisecond))
			l.Heard(at(d), its, its-2)
			assert.Assert(t, !l.Outdates(at(d), its-2), "after %s", d)
		}
	})
}
