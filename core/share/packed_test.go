package share

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestPacked guards against reports that arrive with other teams or wrong rates, that are so long that
// heartbeats fill a link, and against malformed ones that are taken for reports.
func TestPacked(t *testing.T) {
	var ids []wire.TeamID
	r := Report{Admitted: 12.5, Short: true}
	for rank := range 3 {
		d := Demand{Rank: 3 * rank, Asked: 100, Count: 800}
		for i := range MaxReportTeams {
			ids = append(ids, wire.TeamID(fmt.Sprint("team-", rank, "-", i)))
			d.Teams = append(d.Teams, TeamRate{ids[len(ids)-1], Rate(100.0 / MaxReportTeams)})
		}
		r.Demands = append(r.Demands, d)
	}
	p := r.Pack()
	assert.Assert(t, len(p) <= 270, "%d bytes", len(p))
	got, ok := p.Unpack(NewTeams(ids))
	assert.Assert(t, ok && got.Short && len(got.Demands) == 3)
	for i, d := range got.Demands {
		assert.Equal(t, d.Rank, r.Demands[i].Rank)
		assert.Equal(t, d.Count, 800)
		assert.Assert(t, d.Asked >= 100 && d.Asked < 101)
		for j, team := range d.Teams {
			assert.Equal(t, team.Team, r.Demands[i].Teams[j].Team)
			assert.Assert(t, team.Rate <= 6.25 && team.Rate > 6.2)
		}
	}
	t.Run("unknown teams count in the total", func(t *testing.T) {
		got, ok := p.Unpack(NewTeams(ids[:1]))
		assert.Assert(t, ok && len(got.Demands[0].Teams) == 1 && len(got.Demands[1].Teams) == 0)
		assert.Assert(t, got.Demands[1].Asked >= 100)
	})
	t.Run("malformed", func(t *testing.T) {
		for n := range len(p) {
			got, ok := p[:n].Unpack(nil)
			assert.Assert(t, !ok || len(got.Demands) < 3, "%d bytes", n)
		}
		nan := Report{Admitted: 1}.Pack()[:1] + "\xc0\x7f"
		_, ok := nan.Unpack(nil)
		assert.Assert(t, !ok)
	})
}
