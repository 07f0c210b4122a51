package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

const (
	// toleratedFraction is the fraction of the shortest queueing time that a route of a service
	// has to spare which counts as a shortage of the service. All routers know the shares two
	// heartbeat intervals later, while the queue may go on growing as fast as it is drained.
	toleratedFraction = 0.5
	// minTolerated is the shortest wait that counts as a shortage, for routes without time to spare.
	minTolerated = 10 * time.Millisecond
	// reportFraction is the fraction of the tolerated wait from which routers report the demand
	// of teams at every heartbeat interval, so that the reports are known when a shortage begins.
	// Otherwise they report every idleReports intervals.
	reportFraction = 0.5
	idleReports    = 8
	// shortageMemory is the time for which a request that was turned away for want of room shows
	// that a service without a queue is short. It covers two heartbeats.
	shortageMemory = 2 * heartbeatInterval
	// maxNames is the number of teams that all routers together name for a service, and minNames
	// that which each may name however many routers there are. It bounds what the router that
	// divides the service reads. A team that only some routers name counts with what these are
	// asked for, so it may be taken for smaller than it is.
	maxNames = 1024
	minNames = 4
	// maxOverAge is the age from which reports and the teams over their shares are no longer known,
	// because a router is lost or was suspended.
	maxOverAge = ownerTimeout
)

// teamShares measures what teams ask of each service and publishes which of them ask for more
// than their share. It is safe for concurrent use.
type teamShares struct {
	s         *Server
	on        atomic.Bool
	published atomic.Pointer[publishedShares]
	labels    *proc.LabelLimiter // teams that have metrics of their own

	mu       sync.Mutex
	services map[fleet.ServiceID]*serviceShares
}

// serviceShares is the state of one service.
type serviceShares struct {
	share.Meter
	shortAt atomic.Pointer[time.Time]  // last request turned away for want of room, nil if there was none
	shares  atomic.Pointer[rankShares] // last division, here or at another router; nil before
	asking  atomic.Bool                // whether a report is on its way

	mu       sync.Mutex
	received map[wire.HostID]receivedReport // of other routers, if this one divides the service

	// Only update uses the fields below.
	divider share.Divider
	metered map[string]bool // teams whose metrics aren't 0
}

// receivedReport is a report of a router and when it came.
type receivedReport struct {
	share.Report
	boot int64
	at   time.Time
}

// publishedShares holds the last division of each service that is short. It is not changed after
// it was published.
type publishedShares map[fleet.ServiceID]*rankShares

// rankShares holds the teams whose requests of one rank ask for more than their share.
type rankShares struct {
	ShareAnswer
	at time.Time
}

// ShareReport tells the router that divides a service what the callers of another ask of it.
type ShareReport struct {
	From    wire.HostID
	Boot    int64 // as in Member
	Service fleet.ServiceID
	Demand  share.Report
}

// ShareAnswer answers a ShareReport with the last division of the service.
type ShareAnswer struct {
	Short bool       // whether the service is short of room
	Rank  int        // rank of the requests that Over is about
	Over  share.Over // teams that ask for more than their share
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
	return s.shares.current(now, svc).Over[team]
}

// overShareIn is overShare for requests of a rank. It is 0 for the other ranks: more urgent
// requests are served in full, less urgent ones get what these leave.
func (s *Server) overShareIn(now time.Time, svc fleet.ServiceID, rank int, team wire.TeamID) float64 {
	a := s.shares.current(now, svc)
	if a.Rank != fleet.RankLevel(rank) {
		return 0
	}
	return a.Over[team]
}

// current returns what was published of a service, unless it is too old.
func (ts *teamShares) current(now time.Time, svc fleet.ServiceID) ShareAnswer {
	rs := (*ts.published.Load())[svc]
	if rs == nil || now.Sub(rs.at) > maxOverAge || !ts.on.Load() {
		return ShareAnswer{}
	}
	return rs.ShareAnswer
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
		ss = &serviceShares{metered: map[string]bool{}, received: map[wire.HostID]receivedReport{}}
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
	x.asked = x.workByService()
	for id, work := range x.asked {
		x.s.recordDemand(now, id, x.rank, x.teamID(), work)
	}
}

// recordAdmitted records that the work that recordDemand has recorded is admitted.
func (x *exchange) recordAdmitted() {
	if !x.s.shares.on.Load() {
		return
	}
	now := time.Now()
	for id, work := range x.asked {
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
	tokens := x.spec.PromptTokens + x.spec.OutputTokens()
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
	for n := 0; ; n++ {
		select {
		case <-tick.C:
			if ts.on.Load() {
				ts.update(ctx, time.Now(), n%idleReports == 0)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// update divides the services of which this router is in charge, and reports the demand of its
// callers to the routers that are in charge of the others: for services that are short of room
// or nearly so, or for all.
func (ts *teamShares) update(ctx context.Context, now time.Time, reportAll bool) {
	cfg := ts.s.view.Load().Config
	if cfg == nil {
		return
	}
	waits := ts.s.stageWaits(now, cfg)
	for id := range waits {
		ts.service(id) // the owner of its queue may have no callers that use it
	}
	ts.mu.Lock()
	maps.DeleteFunc(ts.services, func(id fleet.ServiceID, _ *serviceShares) bool { return cfg.Service(id) == nil })
	services := maps.Clone(ts.services)
	ts.mu.Unlock()
	candidates := ts.s.peers.shareCandidates(now)
	names := min(max(maxNames/ts.s.peers.routerCount(now), minNames), share.MaxReportTeams)
	p := publishedShares{}
	for id, ss := range services {
		last := ss.shares.Load()
		if last == nil || now.Sub(last.at) > maxOverAge {
			last = &rankShares{}
		}
		own := ss.Report(now, last.Rank, names)
		at := ss.shortAt.Load()
		own.Short = at != nil && now.Sub(*at) < shortageMemory
		w := waits[id]
		owner := route.Owner(string(id), candidates)
		if owner != ts.s.cfg.Name && len(ss.metered) > 0 {
			ss.divider = share.Divider{}
			ts.meter(id, ss, share.Division{}) // the gauges are those of the owner from now on
		}
		if owner == ts.s.cfg.Name {
			last = ts.divide(now, id, ss, own, w)
		} else if last.Short || own.Short || reportAll || w.tolerated > 0 && w.wait >= time.Duration(reportFraction*float64(w.tolerated)) {
			ts.report(ctx, owner, id, ss, own)
		}
		if last.Short {
			p[id] = last
		}
	}
	if ts.on.Load() {
		ts.published.Store(&p)
	}
}

// divide divides a service by the reports of all routers and that of this one.
func (ts *teamShares) divide(now time.Time, id fleet.ServiceID, ss *serviceShares, own share.Report, w serviceWait) *rankShares {
	in := share.Input{Wait: w.wait, Tolerated: w.tolerated, Capacity: w.capacity, Coverage: ts.s.peers.coverage(now)}
	reports, oldest := ss.reports(now)
	in.Reports = append(reports, own)
	d := ss.divider.Update(now, in)
	rs := &rankShares{ShareAnswer{d.Short, d.Rank, d.Over}, now}
	ss.shares.Store(rs)
	ts.logChanges(id, in, d, oldest)
	ts.meter(id, ss, d)
	return rs
}

// report tells the router that divides a service of this router's demand and takes over its last
// division. It does nothing while the last report is on its way.
func (ts *teamShares) report(ctx context.Context, owner wire.HostID, id fleet.ServiceID, ss *serviceShares, own share.Report) {
	if !ss.asking.CompareAndSwap(false, true) {
		return
	}
	ts.s.background.Go(func() {
		defer ss.asking.Store(false)
		// The context ends the wait, and not the call's own timeout, which closes the connection
		// that orders use too.
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		a := new(ShareAnswer) // still written to after the call was abandoned
		r := ShareReport{ts.s.cfg.Name, ts.s.peers.self.Boot, id, own}
		if err := ts.s.callOwner(ctx, owner, "Peer.Share", r, a, 2*heartbeatTimeout); err != nil {
			ts.s.log.Debug("demand of teams not reported", "service", id, "owner", owner, "err", err)
			ts.s.incCounter("team_reports_failed")
			return
		}
		if !a.Over.IsValid() {
			ts.s.incCounter("team_reports_ignored")
			return
		}
		ss.shares.Store(&rankShares{*a, time.Now()})
	})
}

// Share records the report of another router and answers with the last division.
func (p *Peer) Share(r ShareReport, a *ShareAnswer) error {
	*a = p.s.shares.receive(time.Now(), r)
	return nil
}

// receive is Peer.Share. Reports of unknown routers or services, impossible ones and those of an
// earlier run of a router are ignored.
func (ts *teamShares) receive(now time.Time, r ShareReport) (a ShareAnswer) {
	cfg := ts.s.view.Load().Config
	if _, known := ts.s.peers.address(r.From); !known || !ts.on.Load() || cfg == nil || cfg.Service(r.Service) == nil {
		return a
	}
	if !r.Demand.IsValid() {
		ts.s.incCounter("team_reports_ignored")
		return a
	}
	ss := ts.service(r.Service)
	ss.mu.Lock()
	if old, ok := ss.received[r.From]; !ok || r.Boot >= old.boot && !now.Before(old.at) || now.Sub(old.at) > maxOverAge {
		ss.received[r.From] = receivedReport{r.Demand, r.Boot, now}
	}
	ss.mu.Unlock()
	if rs := ss.shares.Load(); rs != nil && now.Sub(rs.at) <= maxOverAge {
		a = rs.ShareAnswer // its rank is of use without a shortage too
	}
	return a
}

// reports returns the reports of the other routers, as of now, and the age of the oldest. It
// forgets those of routers that are silent.
func (ss *serviceShares) reports(now time.Time) (reports []share.Report, oldest time.Duration) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for from, r := range ss.received {
		age := now.Sub(r.at)
		if age > maxOverAge {
			delete(ss.received, from)
			continue
		}
		oldest = max(oldest, age)
		reports = append(reports, r.Aged(age))
	}
	return reports, oldest
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

// shareCandidates returns the routers that may divide services among teams.
func (p *peers) shareCandidates(now time.Time) []wire.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []wire.HostID{p.self.Name}
	for n, m := range p.members {
		if m.Shares && !m.Leaving && m.isAlive(now) {
			names = append(names, n)
		}
	}
	return names
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
