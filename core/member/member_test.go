package member

import (
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestEvaluate guards against sending new work to an upstream that is drained, out,
// silent or leaving, and against excluding a live upstream because the host list lags.
func TestEvaluate(t *testing.T) {
	const serve, drain = wire.UpstreamStateServe, wire.UpstreamStateDrain
	const in, out = wire.CentreStateIn, wire.CentreStateOut
	alive := Session{Alive: true, Incarnation: "b"}
	for name, c := range map[string]struct {
		state   wire.UpstreamState
		centre  wire.CentreState
		known   bool
		session Session
		listing Listing
		want    string
	}{
		"all agree":                {serve, in, true, alive, Listing{ListedLive, "b"}, ReasonEligible},
		"not in roster":            {serve, in, false, alive, Listing{ListedLive, "b"}, ReasonUnknown},
		"drained":                  {drain, in, true, alive, Listing{ListedLive, "b"}, ReasonDrain},
		"state missing":            {"", in, true, alive, Listing{ListedLive, "b"}, ReasonDrain},
		"centre out":               {serve, out, true, alive, Listing{ListedLive, "b"}, ReasonOut},
		"centre state missing":     {serve, "", true, alive, Listing{ListedLive, "b"}, ReasonOut},
		"live in list, silent":     {serve, in, true, Session{Incarnation: "b"}, Listing{ListedLive, "b"}, ReasonSilent},
		"absent in list, alive":    {serve, in, true, alive, Listing{ListedAbsent, ""}, ReasonEligible},
		"no listing, alive":        {serve, in, true, alive, Listing{}, ReasonEligible},
		"goodbye":                  {serve, in, true, Session{true, "b", true, false}, Listing{ListedLive, "b"}, ReasonGoodbye},
		"agent knows out":          {serve, in, true, Session{true, "b", false, true}, Listing{ListedLive, "b"}, ReasonAgentOut},
		"list leaving":             {serve, in, true, alive, Listing{ListedLeaving, "b"}, ReasonListLeaving},
		"list leaving, earlier":    {serve, in, true, alive, Listing{ListedLeaving, "a"}, ReasonEligible},
		"list leaving, none seen":  {serve, in, true, alive, Listing{ListedLeaving, ""}, ReasonListLeaving},
		"roster before session":    {drain, out, true, Session{}, Listing{ListedLeaving, ""}, ReasonDrain},
		"session before host list": {serve, in, true, Session{}, Listing{ListedLeaving, ""}, ReasonSilent},
	} {
		t.Run(name, func(t *testing.T) {
			got := Evaluate(wire.Upstream{State: c.state}, wire.Centre{State: c.centre}, c.known, c.session, c.listing)
			assert.Equal(t, got, Verdict{c.want == ReasonEligible, c.want})
		})
	}
}
