package entry

import (
	"encoding/binary"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/shed"
)

// boundInterval is how long the bound of a service's queueing time is kept: it follows from the
// configuration and from averages that change slowly, and looks at all routes.
const boundInterval = 200 * time.Millisecond

// shedding is what the router knows to turn away the requests that cost callers least. It is safe
// for concurrent use.
type shedding struct {
	on atomic.Bool // setting shed

	mu       sync.Mutex
	services map[fleet.ServiceID]*shedService // stage services of the configuration
	routes   map[fleet.RouteID]*shed.MeanWork // routes of the configuration with stages
	config   fleet.Version                    // configuration that services and routes are from
	// reported is the last report of the demand, and reportedAt its time: heartbeats go to
	// several peers at a time.
	reported   map[fleet.ServiceID]Demand
	reportedAt time.Time
}

// shedService is the state of one stage service.
type shedService struct {
	asked   shed.Meter
	level   shed.Level // as this router sees it
	mix     shed.Mix
	bounds  [fleet.RankLevels]time.Duration
	boundAt time.Time
	// shortSince is when the level that the router goes by rose above 0, zero if it is 0.
	shortSince time.Time
}

// Demand is a router's part of the demand for a stage service as it travels in a heartbeat: a list
// of integers (encoding/binary, uvarint) with the lengths and elements of levels, asked and pending
// of demandReport, preceded by 1 if the router owns a queue and 0 if not. It is empty if the router
// doesn't turn requests away by demand. As a string it costs little to pass on.
type Demand string

// demandReport is the content of a Demand.
type demandReport struct {
	owner   bool  // whether the router owns a queue of the service
	levels  []int // thousandths of the demand that are to be turned away, by rank, if owner
	asked   []int // pieces per minute that callers ask of the router, by rank
	pending []int // pieces of requests in Load.Coming and Load.Waiting, by rank
}

// encode returns the report as it travels.
func (d *demandReport) encode() Demand {
	b := make([]byte, 1, 32)
	if d.owner {
		b[0] = 1
	}
	for _, list := range [][]int{d.levels, d.asked, d.pending} {
		b = binary.AppendUvarint(b, uint64(len(list)))
		for _, n := range list {
			b = binary.AppendUvarint(b, uint64(max(n, 0)))
		}
	}
	return Demand(b)
}

// maxDemand bounds the numbers in a Demand, far beyond what a router can be asked for.
const maxDemand = 1 << 30

// decode returns the report, and false if it is malformed.
func (d Demand) decode() (report demandReport, ok bool) {
	if len(d) == 0 {
		return report, false
	}
	b := []byte(d)
	report.owner, b = b[0] == 1, b[1:]
	next := func() (n int, ok bool) {
		x, size := binary.Uvarint(b)
		if size <= 0 || x > maxDemand {
			return 0, false
		}
		b = b[size:]
		return int(x), true
	}
	for _, list := range []*[]int{&report.levels, &report.asked, &report.pending} {
		length, ok := next()
		if !ok || length > fleet.RankLevels {
			return demandReport{}, false
		}
		for range length {
			n, ok := next()
			if !ok {
				return demandReport{}, false
			}
			*list = append(*list, n)
		}
	}
	return report, true
}

// shortage is the state of a stage service that a decision to turn a request away goes by.
type shortage struct {
	shed.State
	level    shed.Fractions // mean of those that owners report, or this router's if none does
	own      shed.Fractions // level as this router sees it
	owners   int            // number of owners that report a level
	levelAge time.Duration  // age of the oldest report
	lasted   time.Duration  // time for which the level of the least urgent rank has been above 0
}

// add adds the demand at one router, which was reported some time ago.
func (sh *shortage) add(d demandReport, age time.Duration) {
	for r, perMinute := range d.asked {
		sh.Asked.Add(r, float64(perMinute)/60)
	}
	for r, n := range d.pending {
		sh.Pending[fleet.RankLevel(r)] += n
	}
	if !d.owner {
		return
	}
	sh.owners++
	sh.levelAge = max(sh.levelAge, age)
	for r := range sh.level {
		x := 0.0
		if r < len(d.levels) {
			x = min(float64(d.levels[r])/1000, 1)
		}
		sh.level[r] += (x - sh.level[r]) / float64(sh.owners)
	}
}

// service returns the state of a stage service of the configuration. The caller holds mu.
func (sd *shedding) service(cfg *fleet.Config, id fleet.ServiceID) *shedService {
	if sd.config != cfg.Version || sd.services == nil {
		services, routes := map[fleet.ServiceID]*shedService{}, map[fleet.RouteID]*shed.MeanWork{}
		for i := range cfg.Services {
			if svc := &cfg.Services[i]; svc.StageCalls != nil {
				if services[svc.ID] = sd.services[svc.ID]; services[svc.ID] == nil {
					services[svc.ID] = new(shedService)
				}
			}
		}
		for i := range cfg.Routes {
			if r := &cfg.Routes[i]; len(r.Stages) > 0 {
				if routes[r.ID] = sd.routes[r.ID]; routes[r.ID] == nil {
					routes[r.ID] = new(shed.MeanWork)
				}
			}
		}
		sd.services, sd.routes, sd.config = services, routes, cfg.Version
	}
	return sd.services[id]
}

// boundOf returns the queueing time of a service beyond which less urgent requests give way to one
// with the given rank, 0 if none do.
func (sd *shedding) boundOf(id fleet.ServiceID, rank int) time.Duration {
	if !sd.on.Load() {
		return 0
	}
	sd.mu.Lock()
	defer sd.mu.Unlock()
	if svc := sd.services[id]; svc != nil {
		return svc.bounds[fleet.RankLevel(rank)]
	}
	return 0
}

// pendingByRank returns the pieces in Load.Coming and Load.Waiting of a service at this router.
func (s *Server) pendingByRank(id fleet.ServiceID) []int {
	s.unqueued.mu.Lock()
	n := s.unqueued.byRank[id]
	s.unqueued.mu.Unlock()
	for _, sq := range s.queues.ofService(id) {
		sq.mu.Lock()
		for r, waiting := range sq.q.CountByRank() {
			n[r] += waiting
		}
		sq.mu.Unlock()
	}
	return trimZeros(n)
}

// trimZeros returns the counts without the zeros at the end.
func trimZeros(n [fleet.RankLevels]int) []int {
	last := len(n)
	for last > 0 && n[last-1] == 0 {
		last--
	}
	return n[:last:last]
}

// shortage returns the state of a stage service whose queues have the given rate, and moves the
// level that this router sees. isOwner is whether it owns a queue of the service.
func (s *Server) shortage(now time.Time, cfg *fleet.Config, id fleet.ServiceID, rate float64, isOwner bool) (sh shortage) {
	sh.Rate = rate
	s.peers.addDemands(&sh, now, id)
	sh.add(s.ownDemand(now, cfg, id), 0)
	s.shedding.mu.Lock()
	defer s.shedding.mu.Unlock()
	svc := s.shedding.service(cfg, id)
	if svc == nil {
		return sh // an earlier configuration has it
	}
	if now.Sub(svc.boundAt) > boundInterval {
		svc.bounds = admit.QueueBounds(cfg, id, s.expectedFirstEvent)
		svc.boundAt = now
	}
	sh.Bound = svc.bounds
	sh.own = svc.level.Update(now, sh.Required())
	switch {
	case isOwner:
		sh.add(demandReport{owner: true, levels: thousandths(sh.own)}, 0)
	case sh.owners == 0:
		sh.level = sh.own
	}
	if sh.level[len(sh.level)-1] == 0 {
		svc.shortSince = time.Time{}
		return sh
	}
	if svc.shortSince.IsZero() {
		svc.shortSince = now
	}
	sh.lasted = now.Sub(svc.shortSince)
	return sh
}

// thousandths returns fractions in the unit of demandReport.levels.
func thousandths(f shed.Fractions) []int {
	var n [fleet.RankLevels]int
	for r, x := range f {
		n[r] = int(1000*x + 0.5)
	}
	return trimZeros(n)
}

// ownDemand returns this router's part of the demand for a service, without the level.
func (s *Server) ownDemand(now time.Time, cfg *fleet.Config, id fleet.ServiceID) (d demandReport) {
	d.pending = s.pendingByRank(id)
	s.shedding.mu.Lock()
	defer s.shedding.mu.Unlock()
	if svc := s.shedding.service(cfg, id); svc != nil {
		var perMinute [fleet.RankLevels]int
		for r, rate := range svc.asked.Demand(now) {
			perMinute[r] = int(60 * rate)
		}
		d.asked = trimZeros(perMinute)
	}
	return d
}

// reportInterval is the time for which a report of the demand is used again.
const reportInterval = heartbeatInterval / 4

// reportDemands returns this router's part of the demand for the stage services, nil if the setting
// shed is off. owned holds the work of the queues that it owns.
func (s *Server) reportDemands(now time.Time, owned map[shard.ID]Load) map[fleet.ServiceID]Demand {
	if s.view.Load().Config == nil || !s.shedding.on.Load() {
		return nil
	}
	s.shedding.mu.Lock()
	ds, recent := s.shedding.reported, now.Sub(s.shedding.reportedAt) < reportInterval
	s.shedding.mu.Unlock()
	if recent {
		return ds
	}
	ds = s.demands(now, owned)
	s.shedding.mu.Lock()
	defer s.shedding.mu.Unlock()
	s.shedding.reported, s.shedding.reportedAt = ds, now
	return ds
}

// demands returns this router's part of the demand for the stage services.
func (s *Server) demands(now time.Time, owned map[shard.ID]Load) map[fleet.ServiceID]Demand {
	cfg := s.view.Load().Config
	owners := map[fleet.ServiceID]bool{}
	for id := range owned {
		owners[id.Service] = true
	}
	own := s.stageLoads(owned)
	ds := map[fleet.ServiceID]Demand{}
	for id, shards := range s.queues.layout.Load().services {
		if len(shards) == 0 || cfg.Service(id) == nil {
			continue
		}
		d := s.ownDemand(now, cfg, id)
		if owners[id] {
			sh := s.shortage(now, cfg, id, s.peers.backlog(now, shards, own[id], owned).Rate, true)
			d.owner, d.levels = true, thousandths(sh.own)
		}
		if d.owner || len(d.asked) > 0 || len(d.pending) > 0 {
			ds[id] = d.encode()
		}
	}
	return ds
}

// verdict decides whether a request leaves room to others that need the same stage services. It
// implements admit.Yielding.
type verdict struct {
	x         *exchange
	now       time.Time
	shortages map[fleet.ServiceID]shortage
	pieces    map[fleet.ServiceID]int
	draw      float64 // random, of the request
	shareDraw float64 // as draw, for whether the request exceeds its team's share
	work      float64 // seconds of stage work
	size      shed.Size
	// The fields below say for which service the request yields, if it does.
	service  fleet.ServiceID
	group    shed.Group
	fraction float64 // part of the work of its rank that is turned away
}

// newVerdict returns the verdict on a request that has arrived, and counts it as asked.
func (x *exchange) newVerdict(now time.Time, backlogs map[fleet.ServiceID]admit.Backlog, owned map[shard.ID]Load) *verdict {
	v := &verdict{x: x, now: now, shortages: map[fleet.ServiceID]shortage{}, pieces: map[fleet.ServiceID]int{}, draw: randomFraction(), shareDraw: randomFraction()}
	cfg := x.s.view.Load().Config
	for i, st := range x.route.Stages {
		n := x.spec.PieceCount(i)
		v.pieces[st.Service] += n
		v.work += float64(n) * x.view.Config.Service(st.Service).StageCalls.PieceTime.Seconds()
	}
	x.s.shedding.mu.Lock()
	for id, n := range v.pieces {
		if svc := x.s.shedding.service(cfg, id); svc != nil && n > 0 && !x.explaining {
			svc.asked.Record(now, x.rank, n)
		}
	}
	if mean := x.s.shedding.routes[x.route.ID]; mean != nil {
		if !x.explaining {
			mean.Record(v.work)
		}
		v.size = mean.SizeOf(v.work)
	}
	x.s.shedding.mu.Unlock()
	owners := map[fleet.ServiceID]bool{}
	for id := range owned {
		owners[id.Service] = true
	}
	for id, b := range backlogs {
		if cfg.Service(id) != nil {
			v.shortages[id] = x.s.shortage(now, cfg, id, b.Rate, owners[id])
		}
	}
	return v
}

// backlog returns the backlog of a service as the request sees it.
func (v *verdict) backlog(id fleet.ServiceID) admit.Backlog {
	sh, ok := v.shortages[id]
	if !ok {
		return admit.Backlog{}
	}
	return admit.Backlog{Waiting: sh.Ahead(v.x.rank), Rate: sh.Rate}
}

// Yields implements admit.Yielding. A stream that its caller takes up again does not yield.
func (v *verdict) Yields(admit.Forecast) (y admit.Yield, yields bool) {
	if yields = v.sheds(shed.Normal); !yields || v.x.spec.Resumed {
		return admit.Yield{}, false
	}
	sh := v.shortages[v.service]
	return admit.Yield{Reason: admit.ReasonShed, Wait: sh.Wait(v.x.rank), Bound: sh.Bound[fleet.RankLevel(v.x.rank)], Lasts: sh.lasted}, true
}

// sheds counts the request in the mixes of its services and reports whether one of them turns it
// away. group is that of a request whose team is within its share.
func (v *verdict) sheds(group shed.Group) (yields bool) {
	x := v.x
	groups := map[fleet.ServiceID]shed.Group{}
	for id := range v.pieces {
		groups[id] = group
		if x.team != nil && share.Exceeds(x.s.overShareIn(v.now, id, x.rank, x.team.ID), v.shareDraw) {
			groups[id] = shed.OverShare
		}
	}
	sd := &x.s.shedding
	sd.mu.Lock()
	defer sd.mu.Unlock()
	for id, n := range v.pieces {
		svc, sh := sd.services[id], v.shortages[id]
		if svc == nil || n == 0 {
			continue
		}
		c := shed.Class{Group: groups[id], Size: v.size}
		if !x.explaining {
			svc.mix.Record(v.now, x.rank, c, float64(n))
		}
		fraction := sh.level[fleet.RankLevel(x.rank)]
		if svc.mix.Sheds(x.rank, c, fraction, v.draw) && (!yields || fraction > v.fraction) {
			yields, v.service, v.group, v.fraction = true, id, c.Group, fraction
		}
	}
	return yields
}

// count counts a request that is turned away. outcome says whether it is refused or delayed.
func (v *verdict) count(outcome string) {
	v.x.s.incCounter("shed", "service", string(v.service), "rank", strconv.Itoa(fleet.RankLevel(v.x.rank)), "reason", v.group.String(), "outcome", outcome)
}
