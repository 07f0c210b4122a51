// Package member decides whether an upstream is eligible for new work, from the
// roster, the platform's host list and the router's own session to the agent. It
// does no I/O and keeps no state.
package member

import "hornbeamcove.example/core/wire"

// Session is the state of a router's own session to an agent.
type Session struct {
	Alive       bool             // whether the session is open and not silent
	Incarnation wire.Incarnation // incarnation of the agent, from its hello
	Leaving     bool             // whether this incarnation sent a goodbye
	CentreOut   bool             // whether the agent knows that its data centre is out
}

// Values of Listing.State.
const (
	ListedLive    = "live"
	ListedLeaving = "leaving"
	ListedAbsent  = "absent"
)

// Listing is an upstream's entry in the platform's host list.
type Listing struct {
	State       string           // ListedLive, ListedLeaving or ListedAbsent
	Incarnation wire.Incarnation // incarnation when the host was first seen in this state; empty if unknown
}

// Values of Verdict.Reason.
const (
	ReasonEligible    = "eligible"
	ReasonUnknown     = "unknown"      // the roster has no entry for the upstream or its data centre
	ReasonDrain       = "drain"        // the roster drains the upstream
	ReasonOut         = "out"          // the roster lists the data centre as out
	ReasonSilent      = "silent"       // there is no open session, or it is silent
	ReasonGoodbye     = "goodbye"      // this incarnation sent a goodbye
	ReasonAgentOut    = "agent out"    // the agent knows that its data centre is out
	ReasonListLeaving = "list leaving" // the host list marks this incarnation as leaving
)

// Verdict is whether an upstream may receive new work, and the reason.
type Verdict struct {
	Eligible bool
	Reason   string
}

// Evaluate returns the verdict on the upstream u. known is false if the roster has no
// entry for the upstream or its data centre. The roster takes precedence, then the
// router's own session s, then the host list entry l.
//
// The host list lags behind, so an upstream that is absent from it is eligible while
// its session is alive, and a leaving state from an earlier incarnation is ignored.
// A leaving state that was first seen with no known incarnation applies to the
// current one, since it can't be distinguished from a state of this incarnation.
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
