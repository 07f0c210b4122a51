// Package member merges the roster, the platform's host list and a router's own
// observation into a verdict on each upstream. It does no I/O and keeps no state.
package member

import "hornbeamcove.example/core/wire"

// Session is what a router's own session to the agent shows.
type Session struct {
	Alive       bool             // the session is open and not silent
	Incarnation wire.Incarnation // the agent's, from its hello
	Leaving     bool             // this incarnation sent a goodbye
	CentreOut   bool             // the agent knows its data centre to be out
}

// States of a Listing.
const (
	ListedLive    = "live"
	ListedLeaving = "leaving"
	ListedAbsent  = "absent"
)

// Listing is the upstream's entry in the host list.
type Listing struct {
	State       string           // Live, Leaving or Absent
	Incarnation wire.Incarnation // seen when the host was first listed in this state; empty if none was seen
}

// Reasons of a Verdict.
const (
	ReasonEligible    = "eligible"
	ReasonUnknown     = "unknown"      // the roster lacks the upstream or its data centre
	ReasonDrain       = "drain"        // the roster drains the upstream
	ReasonOut         = "out"          // the roster has taken the data centre out
	ReasonSilent      = "silent"       // no session, or a silent one
	ReasonGoodbye     = "goodbye"      // this incarnation announced its stop
	ReasonAgentOut    = "agent out"    // the agent knows its data centre to be out
	ReasonListLeaving = "list leaving" // the host list marks this incarnation as leaving
)

// Verdict says whether an upstream may receive new work, and why.
type Verdict struct {
	Eligible bool
	Reason   string
}

// Evaluate decides on one upstream. known is false when the roster lacks the
// upstream or the object of its data centre. The roster takes precedence, then
// the router's own session, then the host list.
//
// The host list lags, so an upstream that is absent there is eligible while its
// session is alive, and a leaving mark from an earlier incarnation is ignored. A
// leaving mark that was first seen without any incarnation applies to the
// current one, since it can't be told from a mark of this incarnation.
func Evaluate(u wire.Upstream, centre wire.Centre, known bool, s Session, l Listing) Verdict {
	switch {
	case !known:
		return Verdict{Reason: ReasonUnknown}
	case u.State != wire.UpstreamStateServe:
		return Verdict{Reason: ReasonDrain}
	case centre.State != wire.CentreStateIn:
		return Verdict{Reason: ReasonOut}
	case !s.Alive:
		return Verdict{Reason: ReasonSilent}
	case s.Leaving:
		return Verdict{Reason: ReasonGoodbye}
	case s.CentreOut:
		return Verdict{Reason: ReasonAgentOut}
	case l.State == ListedLeaving && (l.Incarnation == "" || l.Incarnation == s.Incarnation):
		return Verdict{Reason: ReasonListLeaving}
	}
	return Verdict{Eligible: true, Reason: ReasonEligible}
}
