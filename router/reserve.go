package router

import (
	"context"
	"slices"
	"time"

	"hornbeamcove.example/core/once"
	"hornbeamcove.example/core/wire"
)

// reserveTimeout bounds the time to obtain a reservation.
const reserveTimeout = 2 * time.Second

// Reserve obtains a reservation for the non-repeatable stage of a pipeline. The
// reservation is bound to one upstream and one run of its agent. On refusal the token
// is empty.
func (r *Router) Reserve(ctx context.Context, team wire.TeamID, pipeline wire.PipelineID) (tok wire.Token, refusal *Refusal) {
	s := &activeRequest{r: r, req: &Request{Team: team, Pipeline: pipeline}, id: r.newID(), store: r.snapshot.Load().store}
	defer func() {
		if v := recover(); v != nil {
			tok, refusal = "", s.refusePanic(v)
		}
	}()
	if reason := r.beginRequest(); reason != "" {
		return "", s.refuse(reason, "")
	}
	defer r.endRequest()
	if !r.stop.Load().takes(time.Now(), reserveTimeout) {
		return "", s.refuse(wire.ReasonLeaving, "")
	}
	ctx, release := r.cuttable(ctx)
	defer release()
	tok, reason := s.reserve(ctx)
	if reason != "" {
		return "", s.refuse(refusalReason(ctx, reason, &s.executed), "")
	}
	return tok, nil
}

// reserve places a request for a reservation in the queue of the stage's pool, and asks
// agents in turn until one grants it.
func (s *activeRequest) reserve(ctx context.Context) (wire.Token, wire.Reason) {
	var ok bool
	if s.team, ok = s.store.Team(s.req.Team); !ok {
		return "", wire.ReasonUnauthorised
	}
	if s.pipeline, ok = s.store.Pipeline(s.req.Pipeline); !ok || !slices.Contains(s.pipeline.Teams, s.req.Team) {
		return "", wire.ReasonNotfound
	}
	i := nonRepeatableStage(&s.pipeline)
	if i < 0 {
		return "", wire.ReasonReservation
	}
	p := s.r.snapshot.Load().pools[s.pipeline.Stages[i].Pool]
	if p == nil {
		return "", wire.ReasonUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	avoid := map[wire.UpstreamID]bool{}
	for range maxPlacements {
		l, reason := p.acquire(ctx, &placement{
			team: s.req.Team, weight: s.team.Weight, teamLimit: wire.Slots(s.team.Queue), rank: s.pipeline.Rank,
			cost: 1, latestStart: time.Now().Add(reserveTimeout), avoid: avoid,
		})
		if l == nil {
			return "", reason
		}
		tok, ok := l.reserve(ctx, s.req)
		p.release(l)
		if ok {
			return tok, ""
		}
		avoid[l.upstream] = true
	}
	return "", wire.ReasonUnavailable
}

// reserve requests a reservation from the agent. It closes the session if the agent
// doesn't answer within silenceTimeout.
func (l *agentLink) reserve(ctx context.Context, req *Request) (wire.Token, bool) {
	sess, _ := l.session()
	if sess == nil {
		return "", false
	}
	st, err := sess.Open(ctx)
	if err != nil {
		return "", false
	}
	defer st.Reset()
	if st.Send(&wire.Frame{Reserve: &wire.Reserve{Team: req.Team, Pipeline: req.Pipeline}}) != nil {
		return "", false
	}
	waitCtx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	f, err := st.Recv(waitCtx)
	if err != nil {
		sess.Close("no answer to a reservation")
		return "", false
	}
	if f.Refuse != nil {
		l.observe(f.Refuse.Report)
	}
	if f.Reserved == nil {
		return "", false
	}
	return f.Reserved.Token, true
}

// placeReserved returns the link to the upstream that issued the request's
// reservation. It bypasses the pool's queue, since only that agent knows whether the
// reservation was used. The caller must release the link.
func (s *activeStage) placeReserved(ctx context.Context) (*agentLink, wire.Reason) {
	up, _, _, err := once.Parse(s.req.Token)
	if err != nil {
		return nil, wire.ReasonMalformed
	}
	l, err := s.r.control.requireLink(ctx, up)
	if err != nil || l == nil {
		return nil, wire.ReasonUnavailable
	}
	if _, err = l.awaitSession(ctx, nil); err != nil {
		return nil, wire.ReasonUnavailable
	}
	l.ownInFlight.Add(1)
	return l, ""
}

// promptPrefix returns the fingerprint of the start of the prompt, or "" if the stage
// doesn't generate text. Agents report the prefixes that their engine has cached by
// this fingerprint.
func (s *activeStage) promptPrefix() wire.Fingerprint {
	if s.stage.Kind != wire.KindGenerate {
		return ""
	}
	return PromptPrefix(s.req.Body)
}
