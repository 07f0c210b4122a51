package member

import (
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestJudge guards against new work for an upstream that is drained, out, silent
// or leaving, and against losing a live upstream to a lagging host list.
func TestJudge(t *testing.T) {
	const serve, drain = wire.UpstreamStateServe, wire.UpstreamStateDrain
	const in, out = wire.CentreStateIn, wire.CentreStateOut
	alive := Sight{Alive: true, Incarnation: "b"}
	for name, c := range map[string]struct {
		state  wire.UpstreamState
		centre wire.CentreState
		known  bool
		sight  Sight
		list   Listing
		want   string
	}{
		"all agree":                {serve, in, true, alive, Listing{Live, "b"}, ReasonEligible},
		"not in roster":            {serve, in, false, alive, Listing{Live, "b"}, ReasonUnknown},
		"drained":                  {drain, in, true, alive, Listing{Live, "b"}, ReasonDrain},
		"state missing":            {"", in, true, alive, Listing{Live, "b"}, ReasonDrain},
		"centre out":               {serve, out, true, alive, Listing{Live, "b"}, ReasonOut},
		"centre state missing":     {serve, "", true, alive, Listing{Live, "b"}, ReasonOut},
		"live in list, silent":     {serve, in, true, Sight{Incarnation: "b"}, Listing{Live, "b"}, ReasonSilent},
		"absent in list, alive":    {serve, in, true, alive, Listing{Absent, ""}, ReasonEligible},
		"no listing, alive":        {serve, in, true, alive, Listing{}, ReasonEligible},
		"goodbye":                  {serve, in, true, Sight{true, "b", true, false}, Listing{Live, "b"}, ReasonGoodbye},
		"agent knows out":          {serve, in, true, Sight{true, "b", false, true}, Listing{Live, "b"}, ReasonAgentOut},
		"list leaving":             {serve, in, true, alive, Listing{Leaving, "b"}, ReasonListLeaving},
		"list leaving, earlier":    {serve, in, true, alive, Listing{Leaving, "a"}, ReasonEligible},
		"list leaving, none seen":  {serve, in, true, alive, Listing{Leaving, ""}, ReasonListLeaving},
		"roster before session":    {drain, out, true, Sight{}, Listing{Leaving, ""}, ReasonDrain},
		"session before host list": {serve, in, true, Sight{}, Listing{Leaving, ""}, ReasonSilent},
	} {
		t.Run(name, func(t *testing.T) {
			got := Judge(wire.Upstream{State: c.state}, wire.Centre{State: c.centre}, c.known, c.sight, c.list)
			assert.Equal(t, got, Verdict{c.want == ReasonEligible, c.want})
		})
	}
}
