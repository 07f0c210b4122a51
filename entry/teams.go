package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

const (
	// toleratedFraction is the fraction of the shortest queueing time that a route of a service
	// has to spare which counts as a shortage of the service. All routers know of a shortage
	// two heartbeats later, while the queue may go on growing as fast as it is drained.
	toleratedFraction = 0.5
	// minTolerated is the shortest wait that counts as a shortage, for routes without time to spare.
	minTolerated = 10 * time.Millisecond
	// reportFraction is the fraction of the tolerated wait from which routers report the demand
	// of teams, so that the reports are known when a shortage begins.
	reportFraction = 0.5
	// shortageMemory is the time for which a request that was turned away for want of room shows
	// that a service without a queue is short. It covers two heartbeats.
	shortageMemory = 2 * heartbeatInterval
	// maxNames is the number of teams that all routers together name for a service, and minNames
	// that which each may name however many routers there are. Heartbeats tell of all routers, so
	// their size would grow with the routers times the teams. A team that only some routers name
	// counts with what these are asked for, so it may be taken for smaller than it is.
	maxNames = 256
	minNames = 2
	// maxOverAge is the age from which the teams over their shares are no longer known, because
	// their computation was suspended.
	maxOverAge = ownerTimeout
)

// teamShares measures what teams ask of each service and publishes which of them ask for more
// than their share. It is safe for concurrent use.
type teamShares struct {
	s         *Server
	on        atomic.Bool
	published atomic.Pointer[publishedShares]
	labels    *proc.LabelLimiter // teams that have metrics of their own

	// Only update uses teams, those of the configuration with version config.
	teams  share.Teams
	config fleet.Version

	mu       sync.Mutex
	services map[fleet.ServiceID]*serviceShares
}

// serviceShares is the state of one service.
type serviceShares struct {
	share.Meter
	shortAt atomic.Pointer[time.Time] // last request turned away for want of room, nil if there was none

	// Only update uses the fields below.
	divider share.Divider
	rank    int             // of the last division
	metered map[string]bool // teams whose metrics aren't 0
}

// publishedShares is the outcome of one update. It is not changed after it was published.
type publishedShares struct {
	at   time.Time
	over map[fleet.ServiceID]rankShares
	// reports holds what this router tells its peers, by service.
	reports map[fleet.ServiceID]share.Packed
}

// rankShares holds the teams whose requests of one rank ask for more than their share.
type rankShares struct {
	rank int
	over share.Over
}

func newTeamShares(s *Server) *teamShares {
	ts := &teamShares{s: s, labels: proc.NewLabelLimiter(share.MaxReportTeams), services: map[fleet.ServiceID]*serviceShares{}}
	ts.on.Store(s.cfg.Shares)
	ts.published.Store(&publishedShares{})
	return ts
}

// set switches shares of teams on or off. What was measured is forgotten when they are
// switched off.
func (ts *teamShares) set(on bool) {
	ts.on.Store(on)
	if !on {
		ts.mu.Lock()
		clear(ts.services)
		ts.mu.Unlock()
		ts.published.Store(&publishedShares{})
	}
}

// overShare returns by what ratio a team asks for more than its share of a service that is
// short of room: 0.5 if it asks for half as much again. The share is one of what more urgent
// requests leave to the most urgent rank that can't be served in full. The result is 0 if the
// team is within its share, if the service has room, or if shares are off. It takes no lock.
func (s *Server) overShare(now time.Time, svc fleet.ServiceID, team wire.TeamID) float64 {
	return s.shares.current(now, svc).over[team]
}

// overShareIn is overShare for requests of a rank. It is 0 for the other ranks: more urgent
// requests are served in full, less urgent ones get what these leave.
func (s *Server) overShareIn(now time.Time, svc fleet.ServiceID, rank int, team wire.TeamID) float64 {
	rs := s.shares.current(now, svc)
	if rs.rank != rank {
		return 0
	}
	return rs.over[team]
}

// current returns what was published of a service, unless it is too old.
func (ts *teamShares) current(now time.Time, svc fleet.ServiceID) rankShares {
	p := ts.published.Load()
	if len(p.over) == 0 || now.Sub(p.at) > maxOverAge || !ts.on.Load() {
		return rankShares{}
	}
	return p.over[svc]
}

// recordDemand records that requests of a team and rank ask a service for work, served or not.
func (s *Server) recordDemand(now time.Time, svc fleet.ServiceID, rank int, team wire.TeamID, work float64) {
	if s.shares.on.Load() {
		s.shares.service(svc).Ask(now, rank, team, work)
	}
}

// recordShortage records that a request was turned away because a service has no room. Stage
// services don't need it: their queues tell how long they are.
func (s *Server) recordShortage(now time.Time, svc fleet.ServiceID) {
	if s.shares.on.Load() {
		s.shares.service(svc).shortAt.Store(&now)
	}
}

// service returns the state of a service of the configuration.
func (ts *teamShares) service(id fleet.ServiceID) *serviceShares {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ss := ts.services[id]
	if ss == nil {
		ss = &serviceShares{metered: map[string]bool{}}
		ts.services[id] = ss
	}
	return ss
}

// teamID returns the request's team, empty for an anonymous request. Anonymous requests have
// one share together.
func (x *exchange) teamID() wire.TeamID {
	if x.team == nil {
		return ""
	}
	return x.team.ID
}

// recordDemand records the work that the request asks of each service.
func (x *exchange) recordDemand() {
	if !x.s.shares.on.Load() {
		return
	}
	now := time.Now()
	for id, work := range x.workByService() {
		x.s.recordDemand(now, id, x.rank, x.teamID(), work)
	}
}

// recordAdmitted records that the work that recordDemand has recorded is admitted.
func (x *exchange) recordAdmitted() {
	if !x.s.shares.on.Load() {
		return
	}
	now := time.Now()
	for id, work := range x.workByService() {
		x.s.shares.service(id).Admit(now, work)
	}
}

// workByService returns the work that the request asks of each service: seconds of an upstream for
// stages, tokens for engines and requests for others. The shared parts of a prompt do not
// count, since engines mostly hold them.
func (x *exchange) workByService() map[fleet.ServiceID]float64 {
	work := make(map[fleet.ServiceID]float64, 1+len(x.route.Stages))
	for i, st := range x.route.Stages {
		if svc := x.view.Config.Service(st.Service); svc != nil && svc.StageCalls != nil {
			work[st.Service] += float64(x.spec.PieceCount(i)) * pieceSeconds(svc.StageCalls)
		}
	}
	if x.svc == nil {
		return work
	}
	if !x.route.Engine {
		work[x.svc.ID]++
		return work
	}
	tokens := x.spec.PromptTokens + cmp.Or(x.spec.ExpectedTokens, x.spec.MaxOutputTokens)
	for _, p := range x.spec.SharedSegments() {
		tokens -= p.Tokens
	}
	work[x.svc.ID] += float64(max(tokens, 1))
	return work
}

// pieceSeconds returns the time of an upstream that a piece takes in a full call.
func pieceSeconds(c *fleet.StageCalls) float64 {
	n := max(c.MaxBatch, 1)
	return c.ExpectedTime(n).Seconds() / float64(n)
}

// run updates the shares at every heartbeat interval until ctx is done.
func (ts *teamShares) run(ctx context.Context) error {
	tick := ts.s.clock.Subscribe(heartbeatInterval, "shares")
	defer tick.Close()
	for {
		select {
		case <-tick.C:
			if ts.on.Load() {
				ts.update(time.Now())
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// update decides anew which teams are over their shares, and publishes it together with the
// reports for the peers.
func (ts *teamShares) update(now time.Time) {
	cfg := ts.s.view.Load().Config
	if cfg == nil {
		return
	}
	if ts.config != cfg.Version || ts.teams == nil {
		ids := make([]wire.TeamID, len(cfg.Teams))
		for i := range cfg.Teams {
			ids[i] = cfg.Teams[i].ID
		}
		ts.teams, ts.config = share.NewTeams(ids), cfg.Version
	}
	waits := ts.s.stageWaits(now, cfg)
	for id := range waits {
		ts.service(id) // the owner of its queue may have no callers that use it
	}
	ts.mu.Lock()
	maps.DeleteFunc(ts.services, func(id fleet.ServiceID, _ *serviceShares) bool { return cfg.Service(id) == nil })
	services := maps.Clone(ts.services)
	ts.mu.Unlock()
	p := &publishedShares{at: now, over: map[fleet.ServiceID]rankShares{}, reports: map[fleet.ServiceID]share.Packed{}}
	names := min(max(maxNames/ts.s.peers.routerCount(now), minNames), share.MaxReportTeams)
	for id, ss := range services {
		own := ss.Report(now, ss.rank, names)
		at := ss.shortAt.Load()
		own.Short = at != nil && now.Sub(*at) < shortageMemory
		in := share.Input{Wait: waits[id].wait, Tolerated: waits[id].tolerated, Capacity: waits[id].capacity}
		reports, oldest := ts.s.peers.teamReports(now, id, ts.teams)
		in.Reports = append(reports, own)
		in.Coverage = ts.s.peers.coverage(now)
		d := ss.divider.Update(now, in)
		if ss.rank = d.Rank; len(d.Over) > 0 {
			p.over[id] = rankShares{d.Rank, d.Over}
		}
		if d.Short || own.Short || in.Tolerated > 0 && in.Wait >= time.Duration(reportFraction*float64(in.Tolerated)) {
			p.reports[id] = own.Pack()
		}
		ts.logChanges(id, in, d, oldest)
		ts.meter(id, ss, d)
	}
	if ts.on.Load() {
		ts.published.Store(p)
	}
}

// logChanges logs and counts the teams that have gone over their share or are back within it.
func (ts *teamShares) logChanges(id fleet.ServiceID, in share.Input, d share.Division, oldest time.Duration) {
	for _, c := range d.Changes {
		msg, direction := "team within its share again", "within"
		if c.Over {
			msg, direction = "team over its share", "over"
		}
		ts.s.log.Info(msg, "service", id, "rank", d.Rank, "team", c.Team, "demand", float64(c.Demand), "share", float64(c.Share), "capacity", float64(d.Capacity),
			"asked", float64(d.Asked), "rank_asked", float64(d.Demand.Asked), "teams", d.Demand.Count, "wait_ms", in.Wait.Milliseconds(), "tolerated_ms", in.Tolerated.Milliseconds(),
			"reports", len(in.Reports), "oldest_ms", oldest.Milliseconds())
		ts.s.incCounter("team_shares", "service", string(id), "change", direction)
	}
}

// meter sets the metrics of the rank at which a service is short, and those of its last teams to 0 when it no
// longer is.
func (ts *teamShares) meter(id fleet.ServiceID, ss *serviceShares, d share.Division) {
	type figures struct{ demand, share float64 }
	byLabel := map[string]figures{}
	if d.Short {
		named := share.Rate(0)
		for _, t := range d.Demand.Teams {
			label := ts.labels.Value(string(t.Team))
			f := byLabel[label]
			f.demand += float64(t.Rate)
			f.share += float64(t.Rate) / (1 + d.Over[t.Team])
			byLabel[label] = f
			named += t.Rate
		}
		rest := float64(max(d.Demand.Asked-named, 0))
		f := byLabel[proc.Other]
		byLabel[proc.Other] = figures{f.demand + rest, f.share + rest}
	}
	for label := range ss.metered {
		if _, ok := byLabel[label]; !ok {
			byLabel[label] = figures{}
			delete(ss.metered, label)
		}
	}
	for label, f := range byLabel {
		if f != (figures{}) {
			ss.metered[label] = true
		}
		scope := ts.s.scope().Tagged(map[string]string{"service": string(id), "team": label})
		scope.Gauge("team_demand").Update(f.demand)
		scope.Gauge("team_share").Update(f.share)
	}
}

// reports returns what this router tells its peers of the demand of its callers: for services
// that are short of room or nearly so.
func (ts *teamShares) reports(now time.Time) map[fleet.ServiceID]share.Packed {
	p := ts.published.Load()
	if now.Sub(p.at) > maxOverAge {
		return nil
	}
	return p.reports
}

// teamReports returns what live peers report of a service, as of now, and the age of the oldest
// report. teams are those of the configuration.
func (p *peers) teamReports(now time.Time, svc fleet.ServiceID, teams share.Teams) (reports []share.Report, oldest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		packed, ok := m.TeamDemands[svc]
		if !ok || !m.isAlive(now) {
			continue
		}
		if r, ok := packed.Unpack(teams); ok {
			age := now.Sub(m.seenAt)
			oldest = max(oldest, age)
			reports = append(reports, r.Aged(age))
		}
	}
	return reports, oldest
}

// coverage returns the fraction of the routers that were heard of lately, this one included.
func (p *peers) coverage(now time.Time) float64 {
	total := p.routerCount(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := 1
	for _, m := range p.members {
		if m.isAlive(now) {
			alive++
		}
	}
	return float64(alive) / float64(max(total, alive))
}

// serviceWait holds the queueing time of a stage service.
type serviceWait struct {
	wait, tolerated time.Duration
	capacity        share.Rate // seconds of upstreams per second
}

// stageWaits returns the expected queueing time of each stage service that has requests waiting,
// and the time that the requests of its routes tolerate.
func (s *Server) stageWaits(now time.Time, cfg *fleet.Config) map[fleet.ServiceID]serviceWait {
	waits := map[fleet.ServiceID]serviceWait{}
	owned := s.queues.ownedLoads(now)
	loads := s.stageLoads(owned)
	for id, shards := range s.queues.layout.Load().services {
		svc := cfg.Service(id)
		if svc == nil || svc.StageCalls == nil || len(shards) == 0 {
			continue
		}
		b := s.peers.backlog(now, shards, loads[id], owned)
		w := serviceWait{wait: b.WaitAfter(0), tolerated: minTolerated, capacity: share.Rate(b.Rate * pieceSeconds(svc.StageCalls))}
		if w.wait > 0 {
			w.tolerated = max(s.toleratedWait(cfg, id), minTolerated)
		}
		waits[id] = w
	}
	return waits
}

// toleratedWait returns the queueing time from which a stage service counts as short of room: a
// part of what the route with the least time to spare can wait.
func (s *Server) toleratedWait(cfg *fleet.Config, id fleet.ServiceID) time.Duration {
	least := time.Duration(-1)
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if !slices.ContainsFunc(r.Stages, func(st fleet.Stage) bool { return st.Service == id }) {
			continue
		}
		if slack := admit.Slack(cfg, r, s.expectedFirstEvent(r)); least < 0 || slack < least {
			least = slack
		}
	}
	return time.Duration(toleratedFraction * float64(max(least, 0)))
}
