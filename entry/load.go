package entry

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/pace"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// maxProbes bounds the probes before one choice.
	maxProbes = 3
	// probeWait is the longest wait for the reply to a probe. A round trip between data
	// centres takes 6 ms or less, and the health path replies at once.
	probeWait = 15 * time.Millisecond
	// probeWaitDivisor bounds the wait by the time until the request misses its target.
	probeWaitDivisor = 20
	// probeTimeout ends a probe that nobody waits for any more. Its reply still counts.
	probeTimeout = 200 * time.Millisecond
	// probeIdleTimeout is how long a connection for probes is kept.
	probeIdleTimeout = 20 * time.Second
	// awayPenalty is the load, in requests, that fetching the stage results from another data
	// centre counts for.
	awayPenalty = 2
	// keptShare is the part of the shared tokens that the engine which a prompt prefers is taken to
	// hold: another prompt may have displaced them since.
	keptShare = 0.5
	// failingPenalty is the penalty, in requests, above which what an upstream tells doesn't
	// place it below the mean. One failure counts for more for several seconds.
	failingPenalty = 1
	// maxServicePaces limits the services whose pace is kept.
	maxServicePaces = 256
)

// servicePaces holds what is known about the load and pace of each service. It is safe for
// concurrent use.
type servicePaces struct {
	mu        sync.Mutex
	byService map[fleet.ServiceID]*pace.Service
	// probeClient makes probes. They don't share connections with requests, because their
	// replies carry no request id by which a late answer to another request could be told.
	probeClient *http.Client
}

func newProbeClient(heads *limit.Bytes) *http.Client {
	c := newUpstreamClient(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: probeIdleTimeout,
		ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10,
	}, heads)
	c.Timeout = probeTimeout
	return c
}

// get returns what is known about a service.
func (p *servicePaces) get(id fleet.ServiceID) *pace.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	svc := p.byService[id]
	if svc == nil {
		if p.byService == nil || len(p.byService) >= maxServicePaces {
			p.byService = map[fleet.ServiceID]*pace.Service{} // most belong to replaced configurations
		}
		svc = new(pace.Service)
		p.byService[id] = svc
	}
	return svc
}

// recordLoad records the load that an answer of an upstream told, if any, at the given time or
// later.
func (s *Server) recordLoad(u fleet.Upstream, info platform.ResponseInfo, at time.Time) {
	switch {
	case info.BadLoad:
		s.incCounter("loads_ignored", "service", string(u.Service))
	case info.Load == pace.Report{}:
	case !info.Load.Plausible(u.Slots):
		s.incCounter("loads_ignored", "service", string(u.Service))
	default:
		s.targets.heardLoad(at, u, info.Load)
		s.paces.get(u.Service).Heard(info.Load)
	}
}

// heardLoad records the load that an upstream told, unless it has started again since.
func (ts *targets) heardLoad(at time.Time, u fleet.Upstream, r pace.Report) {
	ts.mu.Lock()
	t := ts.byID[u.ID]
	ts.mu.Unlock()
	if t == nil || !t.SameRun(u) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Heard(at, r)
}

// pace returns what is known about the service of the request. The service is nil if choices
// don't go by what upstreams tell: the settings say so, the upstreams don't tell their load, or
// the stages are still to run, after which the load is another.
func (x *exchange) pace() (svc *pace.Service, m pace.Means) {
	if !x.s.loadsOn.Load() || x.planning {
		return nil, m
	}
	svc = x.s.paces.get(x.svc.ID)
	m, tells := svc.Means()
	if !tells {
		return nil, m
	}
	return svc, m
}

// estimateLoads returns the load of each upstream and how far it includes the requests of other
// routers. Without a service it is that of the router's own requests.
func estimateLoads(svc *pace.Service, states []targetStatus, m pace.Means) (loads []pace.Load, confidence float64) {
	loads = make([]pace.Load, len(states))
	if svc == nil {
		for i := range states {
			loads[i].Requests = float64(states[i].inFlight)
		}
		return loads, 0
	}
	known := make([]pace.Known, len(states))
	for i := range states {
		known[i] = states[i].load
		known[i].Failing = states[i].penalty > failingPenalty
	}
	return loads, pace.Estimate(known, loads, m)
}

// penalizeAway makes engines outside the data centre that has the stage results less preferable:
// they fetch the results from there.
func (x *exchange) penalizeAway(es []route.Engine, usable []*target) {
	if x.resultsCentre == "" {
		return
	}
	for i, t := range usable {
		if t.Centre != x.resultsCentre {
			es[i].Penalty += awayPenalty
		}
	}
}

// rounded rounds a number for the log to hundredths.
func rounded(f float64) float64 { return math.Round(100*f) / 100 }

// demand returns the demand for the shared parts of the prompt, whose key is given. It counts the
// request for them once.
func (x *exchange) demand(now time.Time, key uint64, svc *pace.Service, m pace.Means, engines int, confidence float64) route.Demand {
	if svc == nil {
		return route.Demand{}
	}
	switch {
	case x.holders != 0:
	case x.explaining:
		x.holders = svc.HoldersOf(key, engines)
	default:
		x.holders = svc.Holders(now, key, engines)
	}
	d := route.Demand{Holders: x.holders, Confidence: confidence, Draw: randomFraction()}
	if m.Work > 0 {
		for _, p := range x.spec.SharedSegments() {
			d.Shared += confidence * keptShare * float64(p.Tokens) / m.Work
		}
	}
	return d
}

// work returns the work of the request at t, and the prompt tokens that t has to read.
func (x *exchange) work(t *target) (w pace.Work, unread wire.Tokens) {
	if !x.s.loadsOn.Load() {
		return pace.One(), 0
	}
	svc := x.s.paces.get(x.svc.ID)
	w = pace.One()
	if x.route.Engine {
		parts := make([]pace.Part, len(x.spec.PromptSegments))
		for i, p := range x.spec.PromptSegments {
			parts[i] = pace.Part{ID: p.ID, Tokens: p.Tokens}
		}
		unread = svc.Unread(time.Now(), t.ID, x.spec.PromptTokens, parts)
		w = pace.Tokens(unread, x.spec.OutputTokens())
	}
	svc.Sent(w)
	return w, unread
}

// recordRead records that the answer of an engine that had unread prompt tokens to read began
// after took.
func (x *exchange) recordRead(t *target, unread wire.Tokens, took time.Duration) {
	if x.s.loadsOn.Load() && x.route.Engine {
		x.recordPace(t, x.s.paces.get(x.svc.ID).ReadIn(unread, took))
	}
}

// recordPace records the time that an answer took relative to the expected time.
func (x *exchange) recordPace(t *target, ratio float64) {
	svc, m := x.pace()
	if svc == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Answered(time.Now(), ratio, m)
}

// chooseProbed is choose, but probes the chosen upstream first if its pace is not known, and
// then chooses again.
func (x *exchange) chooseProbed(ctx context.Context, now time.Time) (t *target, coldLimited bool) {
	t, coldLimited = x.choose(now)
	for range maxProbes {
		if t == nil || !x.wantsProbe(t) {
			break
		}
		x.probe(ctx, t)
		t, coldLimited = x.choose(time.Now())
	}
	return t, coldLimited
}

// wantsProbe reports whether t is to be probed before the request is sent to it. If so, the probe
// is counted.
func (x *exchange) wantsProbe(t *target) bool {
	svc, m := x.pace()
	if svc == nil || !m.Paced || x.svc.HealthPath == "" || x.choiceReason == choiceExcluded {
		return false
	}
	if !pace.Matters(x.remainingToTarget(), x.s.expectedFirstEvent(x.route)) {
		return false
	}
	now := time.Now()
	if _, limited := x.s.limits.Rate(t.ID); limited || !t.mayProbe(now) {
		return false
	}
	if !svc.AllowProbe(now) {
		t.probeEnded()
		return false
	}
	return true
}

// mayProbe reports whether a probe of the upstream may begin, which probeEnded must end.
func (t *target) mayProbe(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.probing || now.Before(t.coldUntil) || !t.load.WantsProbe(now) {
		return false
	}
	t.probing = true
	return true
}

func (t *target) probeEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probing = false
}

// probe asks t for its health, whose reply tells its load, and waits for the reply for a short
// time.
func (x *exchange) probe(ctx context.Context, t *target) {
	s, path := x.s, x.svc.HealthPath
	replied := make(chan struct{})
	s.background.Go(func() {
		defer close(replied)
		s.sendProbe(t, path)
	})
	began, wait := time.Now(), max(min(probeWait, x.remainingToTarget()/probeWaitDivisor), 0)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-replied:
	case <-ctx.Done():
	case due := <-timer.C:
		if due.Sub(began) > 2*wait { // this router was kept from running
			return
		}
		t.probeFailed(due, false)
	}
}

// probeFailed records a probe without a reply in time. unreachable is set if the upstream took no
// connection: that counts like a request to which it happens.
func (t *target) probeFailed(now time.Time, unreachable bool) {
	if unreachable {
		t.recordFailure(now, true, false)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Unanswered(now)
}

// sendProbe asks an upstream for its health and records the load in the reply. The status
// doesn't count: it may be wrong either way, and says nothing about the load.
func (s *Server) sendProbe(t *target, path string) {
	defer t.probeEnded()
	began := time.Now()
	outcome := "failed"
	defer func() { s.incCounter("probes", "service", string(t.Service), "outcome", outcome) }()
	req, err := platform.NewHealthRequest(t.Upstream, path)
	if err != nil {
		s.log.Warn("could not probe upstream", "upstream", t.ID, "err", err)
		return
	}
	resp, err := s.paces.probeClient.Do(req)
	if err != nil {
		s.log.Debug("probe failed", "upstream", t.ID, "err", err)
		t.probeFailed(time.Now(), !isTimeout(err) && !mayHaveStarted(err))
		return
	}
	discardBody(resp)
	_ = resp.Body.Close()
	info := platform.ParseResponse(resp.StatusCode, resp.Header)
	if info.Misdirected || info.Instance != t.ID {
		outcome = "other upstream"
		return
	}
	if info.ColdRemaining > 0 {
		t.markCold(time.Now().Add(info.ColdRemaining))
	}
	s.recordLoad(t.Upstream, info, began)
	if outcome = "told"; info.Load.Pace == 0 {
		outcome = "untold"
		s.paces.get(t.Service).Untold(time.Now())
	}
}
