package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/budget"
	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

// Request is a caller's request whose API key has been checked.
type Request struct {
	Team     wire.TeamID
	Pipeline wire.PipelineID
	Deadline time.Duration // time until the deadline; 0 for the pipeline's deadline, which also bounds it
	Token    wire.Token    // reservation; required if the pipeline has a non-repeatable stage, invalid otherwise
	Body     []byte        // JSON
	// Sink receives the text of the last stage as it is generated. If it is nil, the
	// text is only in the answer. An error from Sink cancels the request.
	Sink func(text []byte) error
}

// activeRequest is the state of a request that is being served.
type activeRequest struct {
	r           *Router
	req         *Request
	id          wire.RequestID
	pipeline    wire.Pipeline
	team        wire.Team
	store       *ticket.Store
	fingerprint wire.Fingerprint
	deadline    time.Time
	executed    executionRecord
	stages      []StageRun // successful runs so far
	textSent    bool       // whether any text was passed to the sink; the stage can't be retried then
}

// Do serves one request. Exactly one of the results is non-nil.
func (r *Router) Do(ctx context.Context, req *Request) (ans *Answer, refusal *Refusal) {
	s := &activeRequest{r: r, req: req, id: r.newID(), store: r.snapshot.Load().store}
	s.executed.tokenUnknown = req.Token != ""
	defer func() {
		if v := recover(); v != nil {
			ans, refusal = nil, s.refusePanic(v)
		}
	}()
	reason := r.beginRequest()
	if reason == "" {
		defer r.endRequest()
		reason = s.admit()
	}
	if reason != "" {
		return nil, s.refuse(reason, "")
	}
	s.deadline = time.Now().Add(s.timeout())
	ctx, release := r.cuttable(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	return s.run(ctx)
}

// beginRequest counts a request as in flight, or returns the reason why the router
// can't take it. It counts before it checks draining, so that drain waits for every
// admitted request.
func (r *Router) beginRequest() wire.Reason {
	n := r.inFlight.Add(1)
	switch {
	case r.draining.Load():
		r.endRequest()
		return wire.ReasonLeaving
	case n > int64(r.cfg.MaxInFlight):
		r.endRequest()
		return wire.ReasonOverload
	default:
		return ""
	}
}

// endRequest undoes the count of a successful beginRequest.
func (r *Router) endRequest() { r.inFlight.Add(-1) }

// timeout returns the time that the request may take: the pipeline's deadline, or the
// caller's if that is shorter.
func (s *activeRequest) timeout() time.Duration {
	d := time.Duration(s.pipeline.Deadline) * time.Millisecond
	if s.req.Deadline > 0 && s.req.Deadline < d {
		return s.req.Deadline
	}
	return d
}

// admit checks a request before any stage runs. It returns the reason for a refusal,
// or "" if the request is admitted.
func (s *activeRequest) admit() wire.Reason {
	var ok bool
	if s.team, ok = s.store.Team(s.req.Team); !ok {
		return wire.ReasonUnauthorised
	}
	if s.pipeline, ok = s.store.Pipeline(s.req.Pipeline); !ok || !slices.Contains(s.pipeline.Teams, s.req.Team) {
		return wire.ReasonNotfound
	}
	if (nonRepeatableStage(&s.pipeline) >= 0) != (s.req.Token != "") {
		return wire.ReasonReservation
	}
	s.fingerprint = crash.Fingerprint(s.req.Team, s.req.Pipeline, s.req.Body)
	if s.r.crashes.State(time.Now(), s.fingerprint) == wire.MarkStateQuarantined {
		return wire.ReasonQuarantined
	}
	if _, ok = budget.Split(s.timeout(), s.expectedTimes(0)); !ok {
		return wire.ReasonDeadline
	}
	if !s.r.stop.Load().takes(time.Now(), s.timeout()) {
		return wire.ReasonLeaving
	}
	return ""
}

// nonRepeatableStage returns the index of the non-repeatable stage, or -1.
func nonRepeatableStage(p *wire.Pipeline) int {
	return slices.IndexFunc(p.Stages, func(s wire.Stage) bool { return s.Once })
}

// expectedTimes returns the expected time of each stage from index from on: the
// duration from the pipeline's configuration and, except for the first of them, the
// current queue wait of the stage's pool. A request whose later stages are
// overloaded is thus refused before its earlier stages use any capacity.
func (s *activeRequest) expectedTimes(from int) []wire.Millis {
	pools := s.r.snapshot.Load().pools
	out := make([]wire.Millis, 0, len(s.pipeline.Stages)-from)
	for i := from; i < len(s.pipeline.Stages); i++ {
		st := &s.pipeline.Stages[i]
		expected := wire.Millis(st.Expect)
		if p := pools[st.Pool]; p != nil && i > from {
			expected += millis(p.expectedWait(s.pipeline.Rank))
		}
		out = append(out, expected)
	}
	return out
}

// run runs the stages in order; each receives the output of the one before it.
func (s *activeRequest) run(ctx context.Context) (*Answer, *Refusal) {
	prior := []byte("null")
	for i := range s.pipeline.Stages {
		st := &activeStage{activeRequest: s, stage: &s.pipeline.Stages[i], index: i, last: i == len(s.pipeline.Stages)-1}
		out, reason := st.run(ctx, prior)
		if reason != "" {
			return nil, s.refuse(refusalReason(ctx, reason, &s.executed), st.stage.Name)
		}
		prior = out
	}
	s.r.Inc("answered", "")
	return &Answer{Request: s.id, Output: prior, Stages: s.stages}, nil
}

// refuse builds the refusal, and records it in the accounts and the metrics.
func (s *activeRequest) refuse(reason wire.Reason, stage wire.StageID) *Refusal {
	refusal := &Refusal{
		Request: s.id, Reason: reason, Team: s.req.Team, Pipeline: s.req.Pipeline,
		Executed: s.executed.value(), RetryAfter: retryAfter(reason), Stage: stage,
	}
	s.r.accounts.RecordRefusal(time.Now(), acct.Refusal{
		Request: refusal.Request, Team: refusal.Team, Pipeline: refusal.Pipeline, Stage: refusal.Stage, Reason: refusal.Reason, Executed: refusal.Executed,
	})
	s.r.Inc("refused", reason)
	return refusal
}

// refusePanic logs the panic v of the goroutine that serves the request and refuses the
// request. It must be called by a deferred function.
func (s *activeRequest) refusePanic(v any) *Refusal {
	s.r.logEvent(log.ErrorLevel, "panicked", wire.ReasonUnknown, "panic while serving a request", "request", s.id, "team", s.req.Team,
		"pipeline", s.req.Pipeline, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	s.executed.unknown = true
	return s.refuse(wire.ReasonUnknown, "")
}

// activeStage is the state of a stage that is being run.
type activeStage struct {
	*activeRequest
	stage         *wire.Stage
	index         int                      // index in the pipeline's stages
	last          bool                     // whether this is the pipeline's last stage
	text          []byte                   // text generated by the current attempt
	estimatedCost int64                    // cost charged on placement, in microseconds of accelerator time
	avoid         map[wire.UpstreamID]bool // upstreams of the earlier attempts
}

const (
	// maxPlacements bounds how often a stage or a reservation is offered to agents. An
	// offer that an agent refuses uses no capacity but delays the caller.
	maxPlacements = 16
)

// run executes the stage, with retries on other replicas where they are allowed,
// and returns its output or the reason for the refusal.
func (s *activeStage) run(ctx context.Context, prior []byte) (out []byte, reason wire.Reason) {
	input, err := json.Marshal(stageInput{rawJSON(s.req.Body), rawJSON(prior)})
	if err != nil {
		return nil, wire.ReasonMalformed
	}
	p := s.r.snapshot.Load().pools[s.stage.Pool]
	if p == nil {
		return nil, wire.ReasonUnavailable
	}
	s.avoid = map[wire.UpstreamID]bool{}
	p.retryBudget.RecordFirstAttempt()
	for n := wire.Attempt(1); ; n++ {
		o := s.attempt(ctx, p, n, input)
		if o.succeeded() {
			return s.output(o.result), ""
		}
		s.avoid[o.upstream] = true
		if !s.prepareRetry(ctx, p, n, &o) {
			return nil, o.reason
		}
	}
}

// stageInput is the JSON that a stage receives.
type stageInput struct {
	Body  rawJSON `json:"body"`
	Prior rawJSON `json:"prior"`
}

// attempt places the stage on an upstream and runs it there once.
func (s *activeStage) attempt(ctx context.Context, p *pool, n wire.Attempt, input []byte) outcome {
	timeout, ok := budget.Split(time.Until(s.deadline), s.expectedTimes(s.index))
	if !ok {
		return outcome{reason: wire.ReasonDeadline, executed: wire.ExecutedNone}
	}
	latestStart := time.Now().Add(timeout - time.Duration(s.stage.Expect)*time.Millisecond)
	l, reason := s.place(ctx, p, input, latestStart)
	if l == nil {
		return outcome{reason: reason, executed: wire.ExecutedNone}
	}
	defer l.pool.release(l)
	timeout, ok = budget.Split(time.Until(s.deadline), s.expectedTimes(s.index))
	if !ok {
		return outcome{reason: wire.ReasonDeadline, executed: wire.ExecutedNone}
	}
	o := s.call(ctx, p, l, n, input, timeout)
	o.upstream = l.upstream
	return o
}

// place returns the link to the upstream that the stage is to run on: the one that
// issued the reservation for a non-repeatable stage, else one from the pool's queue.
// The caller must release the link. On refusal the link is nil.
func (s *activeStage) place(ctx context.Context, p *pool, input []byte, latestStart time.Time) (*agentLink, wire.Reason) {
	if s.stage.Once {
		return s.placeReserved(ctx)
	}
	s.estimatedCost = p.meanCost.Estimate(int64(s.stage.Expect) * microsPerMilli)
	return p.acquire(ctx, &placement{
		team: s.req.Team, weight: s.team.Weight, teamLimit: wire.Slots(s.team.Queue), rank: s.pipeline.Rank,
		cost: s.estimatedCost, latestStart: latestStart, prefix: s.promptPrefix(), avoid: s.avoid,
		model: s.stage.Model, adapter: s.stage.Adapter,
	})
}

// call runs the stage on l, a link of p, within timeout. A request suspected of crashing upstreams
// runs solo, that is with no other call on the upstream.
func (s *activeStage) call(ctx context.Context, p *pool, l *agentLink, n wire.Attempt, input []byte, timeout time.Duration) outcome {
	state := s.r.crashes.State(time.Now(), s.fingerprint)
	if state == wire.MarkStateQuarantined {
		return outcome{reason: wire.ReasonQuarantined, executed: wire.ExecutedNone}
	}
	solo := state == wire.MarkStateSuspect
	c := &wire.Call{
		Ref: wire.Ref{Request: s.id, Stage: s.stage.Name, Attempt: n}, Team: s.req.Team, Pipeline: s.req.Pipeline,
		Kind: s.stage.Kind, Rank: s.pipeline.Rank, Weight: s.team.Weight, Left: max(1, millis(timeout-min(outcomeMargin, timeout/8))), Once: s.stage.Once,
		Print: s.fingerprint, Solo: solo, Model: s.stage.Model, Adapter: s.stage.Adapter,
		Stream: s.stage.Kind == wire.KindGenerate, Input: input,
	}
	if s.stage.Once {
		c.Token = s.req.Token
	}
	s.text = s.text[:0]
	start := time.Now()
	claimEnd := start.Add(timeout)
	if solo && !s.r.crashes.Claim(start, s.fingerprint, claimEnd) {
		// An identical request is running solo on some upstream; its outcome decides
		// whether this one may run.
		return outcome{reason: wire.ReasonSolo, executed: wire.ExecutedNone}
	}
	o := s.r.runAttempt(ctx, l, c, s.emit, &s.textSent, func() bool { return s.claimRetry(p, l.upstream, n) })
	s.recordAttempt(l, c, &o, time.Since(start))
	if solo {
		s.r.crashes.Release(s.fingerprint, claimEnd)
	}
	return o
}

// emit appends generated text to the stage's output. Text of the last stage is also
// passed to the caller's sink.
func (s *activeStage) emit(text []byte) error {
	s.text = append(s.text, text...)
	if len(s.text) > maxOutputBytes {
		return errors.New("generated text exceeds the size limit of a stage's output")
	}
	if !s.last || s.req.Sink == nil {
		return nil
	}
	s.textSent = true
	return s.req.Sink(text)
}

// maxOutputBytes limits the text that one stage may generate.
const maxOutputBytes = 2 << 20

// output returns the stage's output as JSON.
func (s *activeStage) output(res *wire.Result) []byte {
	if s.stage.Kind != wire.KindGenerate {
		return res.Output
	}
	out, err := json.Marshal(generatedOutput{string(s.text)})
	if err != nil {
		return []byte("null")
	}
	return out
}

// generatedOutput is the output of a stage of kind generate, or one chunk of it.
type generatedOutput struct {
	Text string `json:"text"`
}

// recordAttempt evaluates a finished attempt: it updates how much of the request was
// executed, counts failures of the upstream, charges the cost, and updates the
// registry of requests that crash upstreams.
func (s *activeStage) recordAttempt(l *agentLink, c *wire.Call, o *outcome, took time.Duration) {
	if c.Once && !o.neverReceived {
		s.executed.tokenUnknown = false
	}
	s.executed.add(o.executed)
	now := time.Now()
	if !o.succeeded() && o.executed != wire.ExecutedNone {
		l.recordFailure(now)
	}
	estimatedCost := s.estimatedCost // a later attempt replaces it before a pending cost arrives
	if o.costPending {
		s.r.collectCost(l, c.Ref, o.runsOn, func(res *wire.Result) { s.recordCost(l, c.Ref, res, o.reason, took, estimatedCost, true) })
	}
	if o.result != nil {
		run := StageRun{Stage: c.Ref.Stage, Upstream: l.upstream, Centre: s.upstreamCentre(l.upstream), Attempt: c.Ref.Attempt, Millis: millis(took), Cost: o.result.Cost}
		if o.succeeded() {
			s.stages = append(s.stages, run)
		}
		s.recordCost(l, c.Ref, o.result, o.reason, took, estimatedCost, o.result.Wasted)
	}
	switch {
	case o.reason == wire.ReasonCrashed:
		before := s.r.crashes.State(now, s.fingerprint)
		state := s.r.crashes.RecordCrash(now, s.fingerprint, s.req.Team, s.req.Pipeline, c.Solo)
		s.r.logEvent(log.WarnLevel, "crashed", o.reason, "upstream crashed under a request", "request", s.id, "upstream", l.upstream, "print", s.fingerprint, "state", state)
		s.r.logMarkChange(s.fingerprint, s.req.Team, s.req.Pipeline, before, state, "own")
		s.r.requestGossip()
	case o.succeeded() && c.Solo:
		before := s.r.crashes.State(now, s.fingerprint)
		s.r.crashes.RecordSurvival(now, s.fingerprint)
		s.r.logMarkChange(s.fingerprint, s.req.Team, s.req.Pipeline, before, s.r.crashes.State(now, s.fingerprint), "own")
		s.r.requestGossip()
	}
}

// upstreamCentre returns the data centre of an upstream, or "" if the upstream is
// unknown.
func (s *activeRequest) upstreamCentre(up wire.UpstreamID) wire.DataCentreID {
	u, _ := s.store.Upstream(up)
	return u.Centre
}

// recordCost charges the team for an attempt, whose cost was estimated on placement, and
// records it in the accounts.
func (s *activeStage) recordCost(l *agentLink, ref wire.Ref, res *wire.Result, cause wire.Reason, took time.Duration, estimatedCost int64, wasted bool) {
	s.adjustCharge(l.pool, &res.Cost, estimatedCost)
	s.r.accounts.RecordStageRun(time.Now(), acct.StageRun{
		Ref: ref, Team: s.req.Team, Pipeline: s.req.Pipeline, Upstream: l.upstream, Centre: s.upstreamCentre(l.upstream), Took: took,
		Cost: res.Cost, Wasted: wasted, Cause: cause,
	})
}

const microsPerMilli = 1000

// adjustCharge corrects the team's cost in the pool's queue from the estimate charged
// on placement to the actual cost of an attempt, wasted work included, so that fair
// shares depend on cost and not on the number of requests. Non-repeatable stages don't
// pass through the queue and are not charged there.
func (s *activeStage) adjustCharge(p *pool, c *wire.Cost, estimatedCost int64) {
	p.meanCost.Observe(int64(c.Busy))
	if !s.stage.Once {
		p.queue.ChargeRank(s.req.Team, s.pipeline.Rank, int64(c.Busy)-estimatedCost)
	}
}

// prepareRetry reports whether the stage is to be tried again, after waiting for
// the back-off.
func (s *activeStage) prepareRetry(ctx context.Context, p *pool, n wire.Attempt, o *outcome) bool {
	if ctx.Err() != nil || n >= maxPlacements || s.textSent || isFinal(o.reason) {
		return false
	}
	left := time.Until(s.deadline)
	expect := time.Duration(s.stage.Expect) * time.Millisecond
	if o.executed != wire.ExecutedNone {
		if s.stage.Once || s.checkQuarantine(o) {
			return false
		}
		if why, ok := s.allowRetry(p, n, left, o.retryClaimed); !ok {
			s.r.logEvent(log.InfoLevel, "retry_denied", o.reason, "retry denied", "request", s.id, "stage", s.stage.Name, "attempt", n, "why", why)
			return false
		}
		s.r.logEvent(log.InfoLevel, "retried", o.reason, "stage retried", "request", s.id, "stage", s.stage.Name, "attempt", n)
	} else {
		// Nothing was executed, so this doesn't count against the retry budget.
		s.r.logEvent(log.InfoLevel, "offered_again", o.reason, "stage offered again", "request", s.id, "stage", s.stage.Name, "attempt", n)
	}
	return clock.Sleep(ctx, min(budget.Backoff(p.newRand(), n), max(0, left-expect)))
}

// allowRetry takes a retry from the budget, unless one was claimed before. If ok is
// false, why is the budget's reason.
func (s *activeStage) allowRetry(p *pool, n wire.Attempt, left time.Duration, claimed bool) (why wire.Reason, ok bool) {
	if claimed {
		return "", true
	}
	return p.retryBudget.Allow(n, left, time.Duration(s.stage.Expect)*time.Millisecond)
}

// claimRetry takes a retry of the stage from the budget while attempt n can't be
// followed at the given upstream. It reports whether another replica of p can run the
// stage now, in time, and the budget allows it.
func (s *activeStage) claimRetry(p *pool, current wire.UpstreamID, n wire.Attempt) bool {
	if !mayRepeat(s.stage.Once, s.textSent, n) {
		return false
	}
	timeout, ok := budget.Split(time.Until(s.deadline), s.expectedTimes(s.index))
	if !ok || !p.hasCapacity(s.placementElsewhere(current)) {
		return false
	}
	_, ok = s.allowRetry(p, n, timeout, false)
	return ok
}

// mayRepeat reports whether attempt n of a stage may be followed by another one: not if
// the stage is non-repeatable, if the caller has seen text of it, or if the attempts are
// used up.
func mayRepeat(once, textSent bool, n wire.Attempt) bool {
	return !once && !textSent && n < maxPlacements
}

// placementElsewhere returns a placement of the stage that leaves out the given upstream
// and those of the earlier attempts.
func (s *activeStage) placementElsewhere(current wire.UpstreamID) *placement {
	avoid := maps.Clone(s.avoid)
	avoid[current] = true
	return &placement{model: s.stage.Model, adapter: s.stage.Adapter, avoid: avoid}
}

// checkQuarantine reports whether the attempt's crash led to the request's
// quarantine, and if so sets the reason of o accordingly.
func (s *activeStage) checkQuarantine(o *outcome) bool {
	if o.reason != wire.ReasonCrashed || s.r.crashes.State(time.Now(), s.fingerprint) != wire.MarkStateQuarantined {
		return false
	}
	o.reason = wire.ReasonQuarantined
	return true
}

// isFinal reports whether a failure for this reason can't be fixed by trying another
// replica.
func isFinal(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonDeadline, wire.ReasonQueue, wire.ReasonCancelled, wire.ReasonSpent, wire.ReasonMismatch,
		wire.ReasonMalformed, wire.ReasonToolarge, wire.ReasonReservation, wire.ReasonQuarantined:
		return true
	default:
		return false
	}
}
