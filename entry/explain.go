package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/platform"
)

// serveExplain answers with the admin.Explanation of the request whose line and headers are the body.
func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	fail := func(status int, err string) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(map[string]string{"error": err}) // fails if the client has disconnected
	}
	w.Header().Set("Content-Type", "application/json")
	req, err := http.ReadRequest(bufio.NewReader(io.LimitReader(r.Body, admin.MaxExplainBytes)))
	if err != nil {
		fail(http.StatusBadRequest, "the body is not a request line with headers: "+err.Error())
		return
	}
	e := s.Explain(time.Now(), req)
	s.log.Info("request explained", "route", e.Route, "send", e.Send, "upstream", e.Upstream, "status", e.Status, "reason", e.Reason)
	s.incCounter("explained")
	if err := json.NewEncoder(w).Encode(e); err != nil {
		s.log.Debug("could not write explanation", "err", err)
	}
}

// Explain returns what the router would do with a request now, by the decisions that requests are
// served by. It changes nothing: the request is not counted, no upstream is probed, and no other router
// is asked. So the software version of a stream that its caller takes up again is not looked for, and
// the route's first service stands for all among which it draws.
func (s *Server) Explain(now time.Time, r *http.Request) admin.Explanation {
	x := &exchange{s: s, r: r, view: s.view.Load(), start: bootNow(), explaining: true}
	x.deadline = x.start.Add(defaultTimeout)
	e := admin.Explanation{
		ResponseInfo: admin.ResponseInfo{Process: s.cfg.Name, At: now.UTC()},
		Config:       x.view.version(), ConfigAge: x.view.age(platform.AreaOperatorSettings).Milliseconds(),
	}
	f := x.match()
	if f == nil {
		f = x.stopRefusal(x.expectedDuration())
	}
	if f == nil {
		f = x.authorize(x.view.Config)
	}
	x.describeRoute(&e)
	if f == nil {
		f = x.explainSend(now, &e)
	}
	if f != nil {
		e.Verdict = admin.Verdict{Status: f.status, Reason: strings.TrimSuffix(f.reason+": "+x.detail, ": "), Retry: f.retryAfter.Milliseconds()}
	}
	return e
}

// describeRoute sets what is known of the request once it is matched to a route.
func (x *exchange) describeRoute(e *admin.Explanation) {
	if x.route == nil {
		return
	}
	e.Route, e.Rank, e.Team = x.route.ID, x.rank, x.teamID()
	e.Left, e.Aim = x.remaining().Milliseconds(), x.remainingToTarget().Milliseconds()
	e.Service = x.route.ChooseService(0)
	if len(x.route.Split) > 1 {
		e.Split = map[fleet.ServiceID]int{}
		for _, w := range x.route.Split {
			e.Split[w.Service] = w.Weight
		}
	}
	x.svc = x.view.Config.Service(e.Service)
}

// explainSend explains the admission of the stages and the choice of an upstream. It returns the
// refusal that the caller would get, if any.
func (x *exchange) explainSend(now time.Time, e *admin.Explanation) *refusal {
	x.parts = crash.SharedParts(x.svc.ID, &x.spec)
	x.explainTargets(now, e)
	if x.quarantined() {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonPartQuarantined}
	}
	if len(x.route.Stages) > 0 {
		p := x.planStages(now)
		e.Forecast = x.explainStages(now, p)
		if !p.OK {
			if _, e.Forecast.Late = x.planLate(p); !e.Forecast.Late {
				return &refusal{http.StatusServiceUnavailable, "stages: " + p.Reason, p.RetryAfter}
			}
		}
	}
	t, coldLimited := x.choose(now)
	switch {
	case t != nil:
		e.Verdict = admin.Verdict{Send: true, Upstream: t.ID, Reason: x.choiceReason}
		return nil
	case coldLimited:
		return &refusal{http.StatusServiceUnavailable, "all upstreams are cold and at their limit", retryAfterNoUpstream}
	case x.limitWait > 0:
		return &refusal{http.StatusServiceUnavailable, reasonLimited, min(x.limitWait, maxLimitWait)}
	}
	return &refusal{http.StatusServiceUnavailable, reasonNoTarget, retryAfterNoUpstream}
}

// explainStages returns the forecast of each stage.
func (x *exchange) explainStages(now time.Time, p stagePlan) *admin.Forecast {
	f := &admin.Forecast{Total: p.forecast.Total.Milliseconds(), Error: p.forecastError.Milliseconds()}
	for i, st := range x.route.Stages {
		b := p.backlogs[st.Service]
		sf := admin.StageForecast{
			Service: st.Service, Pieces: x.spec.PieceCount(i), Waiting: b.Waiting + b.Unqueued, Rate: b.Rate,
			Wait: p.forecast.Waits[i].Milliseconds(), Over: x.s.overShareIn(now, st.Service, x.rank, x.teamID()),
		}
		if p.verdict != nil {
			sf.Pressure = p.verdict.shortages[st.Service].level[fleet.RankLevel(x.rank)]
		}
		f.Stages = append(f.Stages, sf)
	}
	return f
}

// explainTargets lists the upstreams of the service with what the choice goes by.
func (x *exchange) explainTargets(now time.Time, e *admin.Explanation) {
	routers := x.s.peers.routerCount(now)
	svc, means := x.pace()
	us := x.view.Upstreams[x.svc.ID]
	states := make([]targetStatus, len(us))
	for i, u := range us {
		states[i] = x.s.targets.get(u).status(now, x.svc, routers)
	}
	loads, _ := estimateLoads(svc, states, means)
	for i, u := range us {
		st := states[i]
		t := admin.Target{
			Upstream: u.ID, Centre: u.Centre, Software: u.Software, State: x.targetState(now, u, st),
			InFlight: st.inFlight, Penalty: st.penalty, Load: loads[i].Requests, LoadAge: -1, Pace: max(loads[i].Factor, 1),
		}
		if age, ok := x.s.targets.get(u).reportAge(now); ok {
			t.LoadAge = age.Milliseconds()
		}
		e.Targets = append(e.Targets, t)
	}
	slices.SortFunc(e.Targets, func(a, b admin.Target) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
}

// targetState returns why an upstream is left out of the choice, or "usable".
func (x *exchange) targetState(now time.Time, u fleet.Upstream, st targetStatus) string {
	switch {
	case x.s.notices.Leaving(now, u):
		return "leaving"
	case !fleet.Allowed(x.route, x.team, x.s.cfg.region(u.Centre)):
		return "region"
	case x.s.limitWait(now, u) > 0:
		return "limited"
	case st.coldLimited:
		return "cold"
	case st.ejected:
		return "ejected"
	case st.silent:
		return "silent"
	}
	return "usable"
}

// reportAge returns the age of the last load that the upstream told, or false if it told none.
func (t *target) reportAge(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, age, ok = t.load.Last(now)
	return age, ok
}
