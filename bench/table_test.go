package bench

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestVerdict guards against a missed target that is shown as met.
func TestVerdict(t *testing.T) {
	tests := []struct {
		value, target float64
		want          string
	}{
		{1, 0, "no target"},
		{32, 64, "met, 50% of it"},
		{64, 64, "met, 100% of it"},
		{96, 64, "**missed, 1.5x**"},
		{-1, 64, "not determined"},
	}
	for _, tt := range tests {
		assert.Equal(t, Row{Value: tt.value, Target: tt.target}.Verdict(), tt.want)
	}
}

// TestNote guards against an extrapolation that the page does not name.
func TestNote(t *testing.T) {
	c := &capacityRun{}
	s := c.addSeries("a", "memory", "MB", "upstreams")
	for _, x := range []float64{1, 2, 4} {
		s.Add(2*x, x)
	}
	tests := []struct {
		at   float64
		want string
	}{
		{3, ""},
		{4, "no: measured there, 8 MB"},
		{12, "upstreams 3.0x the largest measured"},
	}
	for _, tt := range tests {
		y, _, note, ok := c.extrapolate("memory", tt.at)
		assert.Assert(t, ok)
		near(t, y, 2*tt.at)
		assert.Equal(t, note, tt.want)
	}
	assert.Equal(t, c.breaksAt("memory", 40, 0, 1), "20 upstreams (5x the largest measured)")
}

func TestNumber(t *testing.T) {
	for x, want := range map[float64]string{11000: "11,000", -1234567: "-1,234,567", 123.4: "123", 12.34: "12.3", 0.1234: "0.123", 2: "2"} {
		assert.Equal(t, formatNumber(x), want)
	}
}

// TestTicketOf guards against tickets whose time in force goes unseen.
func TestTicketOf(t *testing.T) {
	tr := newInForceTracker()
	tr.recordPublished(7)
	l := tr.logger(3)
	l.Info("object in force", "kind", "team", "name", "a", "ticket", 6, "deleted", false)
	l.Info("ticket refused", "ticket", 7)
	got, all := tr.delays(1)
	assert.Assert(t, len(got) == 0 && !all)
	l.Info("object in force", "kind", "team", "name", "a", "ticket", wire.TicketNumber(7), "deleted", false)
	got, all = tr.delays(1)
	assert.Assert(t, len(got) == 1 && all)
}

func TestPeersOf(t *testing.T) {
	for n, want := range map[int]int{1: 0, 2: 1, 4: 2, 16: 4, 64: 6, 370: 9} {
		assert.Equal(t, peerCount(n), want)
	}
}

// TestCapacity guards against a part that fails or a table without its rows, at
// sizes whose figures mean nothing.
func TestCapacity(t *testing.T) {
	var page bytes.Buffer
	assert.NilError(t, Capacity(t.Context(), &page, Options{Parts: "abc", Seed: 1, Tiny: true}))
	for _, want := range []string{"| router | state: ticket store |", "| router | one rebuild |", "| router | state: sessions, live heap |", "| agent | messages: idle sessions |", "Fit: "} {
		assert.Assert(t, strings.Contains(page.String(), want), "no %q in:\n%s", want, page.String())
	}
	assert.Assert(t, !strings.Contains(page.String(), "No fit"), page.String())
}
