package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// controlPeriod is how often the snapshot is renewed without a change, so that
	// lapsed entries end on time.
	controlPeriod = 200 * time.Millisecond
	// contactLimit is the age of the last read of the store from which a router
	// takes over what its peers have read.
	contactLimit = 700 * time.Millisecond
)

// View is an immutable snapshot of what a router knows of its deployment.
type View struct {
	Config *fleet.Config // nil until one is known
	// Ups holds the upstreams that may receive work, by service.
	Ups map[fleet.ServiceID][]fleet.Upstream
	Out map[wire.DataCentreID]bool // data centres that are out
	// Listed says that the upstreams were read at least once.
	Listed bool
	// At and Contact are the revision reached in each area and the time of the
	// last read, from the store itself or from a peer.
	At      [2]fleet.Revision
	Contact [2]time.Time
}

// AreaState is what is known of one area of the store, in the form in which routers
// pass it on.
type AreaState struct {
	At      fleet.Revision
	Records map[string]platform.Record // by kind and name
	Listed  bool
}

// State is all that a router has read of the store.
type State struct{ Areas [2]AreaState }

// update is news of an area for the control goroutine.
type update struct {
	area platform.Area
	page platform.Page
	// full says that the page is all there is; otherwise it holds changes.
	full bool
	// peer says that the page comes from another router.
	peer bool
	lost bool // the store did not answer; page is empty
	done chan struct{}
}

// control owns what the router knows; only its goroutine uses it.
type control struct {
	s       *Server
	areas   [2]AreaState
	contact [2]time.Time
	away    [2]bool
	roster  *fleet.Roster
	config  *fleet.Config
	out     map[wire.DataCentreID]bool
}

func newControl(s *Server) *control {
	c := &control{s: s, roster: fleet.NewRoster(), out: map[wire.DataCentreID]bool{}}
	for i := range c.areas {
		c.areas[i].Records = map[string]platform.Record{}
	}
	return c
}

// run takes updates until ctx is done and publishes a snapshot after each.
func (c *control) run(ctx context.Context) error {
	tick := c.s.clock.Subscribe(controlPeriod, "control")
	defer tick.Close()
	for {
		select {
		case u := <-c.s.updates:
			c.apply(time.Now(), u)
			c.publish(time.Now())
			close(u.done)
		case q := <-c.s.stateRequests:
			q <- State{c.export()}
		case <-tick.C:
			c.publish(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// apply takes in one update.
func (c *control) apply(now time.Time, u update) {
	a := &c.areas[u.area]
	if u.lost {
		c.lost(u.area)
		return
	}
	if u.page.Revision < a.At {
		// A peer that is behind, or a read that was overtaken by a peer's news.
		c.s.log.Debug("older state ignored", "area", u.area, "revision", u.page.Revision, "known", a.At)
		return
	}
	if !u.peer {
		c.back(now, u.area)
	}
	c.contact[u.area] = now
	if u.full {
		c.replace(now, u)
	}
	for _, r := range u.page.Records {
		c.record(now, a, r)
	}
	a.At, a.Listed = u.page.Revision, a.Listed || u.full
}

// lost notes that the store does not answer.
func (c *control) lost(area platform.Area) {
	if !c.away[area] {
		c.away[area] = true
		c.s.lost[area].Store(true)
		c.s.log.Warn("store lost", "area", area, "revision", c.areas[area].At)
		c.s.incCounter("store_lost", "area", area.String())
	}
	if area == platform.AreaUpstreams {
		c.roster.StoreLost()
	}
}

// back notes that the store answers again.
func (c *control) back(now time.Time, area platform.Area) {
	if c.away[area] {
		c.away[area] = false
		c.s.lost[area].Store(false)
		c.s.log.Info("store regained", "area", area, "revision", c.areas[area].At)
	}
	if area == platform.AreaUpstreams {
		c.roster.StoreRegained(now)
	}
}

// replace removes what a full listing does not hold.
func (c *control) replace(now time.Time, u update) {
	a := &c.areas[u.area]
	listed := map[string]bool{}
	for _, r := range u.page.Records {
		listed[recordKey(r)] = true
	}
	for key, r := range a.Records {
		if !listed[key] && !r.Deleted {
			c.record(now, a, platform.Record{Kind: r.Kind, Name: r.Name, Revision: max(r.Revision, u.page.Revision), Deleted: true})
		}
	}
}

func recordKey(r platform.Record) string {
	return string(rune('0'+int(r.Kind))) + r.Name
}

// record takes in one item or deletion unless a later one is known.
func (c *control) record(now time.Time, a *AreaState, r platform.Record) {
	key := recordKey(r)
	if old, ok := a.Records[key]; ok && old.Revision >= r.Revision {
		return
	}
	if r.Deleted {
		delete(a.Records, key)
	} else {
		a.Records[key] = r
	}
	switch r.Kind {
	case platform.RecordConfig:
		c.configure(r)
	case platform.RecordCentreOut:
		c.setOut(r)
	case platform.RecordUpstream:
		c.setUpstream(now, r)
	}
}

func (c *control) configure(r platform.Record) {
	if r.Deleted {
		c.s.log.Warn("configuration deleted, the last one stays in force", "revision", r.Revision)
		return
	}
	cfg, err := platform.ParseConfig(r.Value)
	if err != nil {
		c.s.log.Error("configuration refused, the last one stays in force", "revision", r.Revision, "err", err)
		c.s.incCounter("config_refused")
		return
	}
	if c.config != nil && cfg.Version <= c.config.Version {
		c.s.log.Warn("older configuration ignored", "version", cfg.Version, "known", c.config.Version)
		return
	}
	c.config = cfg
	c.s.log.Info("configuration in force", "version", cfg.Version, "revision", r.Revision,
		"routes", len(cfg.Routes), "services", len(cfg.Services), "teams", len(cfg.Teams))
	c.s.incCounter("config_applied")
}

func (c *control) setOut(r platform.Record) {
	centre := wire.DataCentreID(r.Name)
	if r.Deleted {
		delete(c.out, centre)
	} else {
		c.out[centre] = true
	}
	c.s.log.Info("data centre changed", "centre", centre, "out", !r.Deleted, "revision", r.Revision)
}

func (c *control) setUpstream(now time.Time, r platform.Record) {
	id := wire.UpstreamID(r.Name)
	if r.Deleted {
		c.roster.Remove(id, now)
		c.s.log.Info("upstream left", "upstream", id, "revision", r.Revision)
		return
	}
	u, err := platform.ParseUpstream(r.Name, r.Value)
	if err != nil {
		c.s.log.Warn("entry ignored", "err", err, "revision", r.Revision)
		c.s.incCounter("entries_ignored")
		c.roster.Remove(id, now)
		return
	}
	c.roster.Put(u)
	c.s.log.Info("upstream entry", "upstream", id, "service", u.Service, "address", u.Address, "centre", u.Centre,
		"draining", u.Draining, "cold", u.ColdRemaining.String(), "revision", r.Revision)
}

// publish replaces the snapshot.
func (c *control) publish(now time.Time) {
	v := &View{
		Config: c.config, Ups: map[fleet.ServiceID][]fleet.Upstream{}, Out: maps.Clone(c.out),
		Listed: c.areas[platform.AreaUpstreams].Listed, Contact: c.contact,
	}
	var all []fleet.Upstream
	for svc, us := range c.roster.Usable(now) {
		all = append(all, us...)
		us = slices.DeleteFunc(us, func(u fleet.Upstream) bool { return c.out[u.Centre] })
		v.Ups[svc] = us
	}
	for i := range c.areas {
		v.At[i] = c.areas[i].At
	}
	c.s.targets.retain(now, all)
	c.s.view.Store(v)
	c.s.queues.update(v)
}

// export returns what the router knows, for its peers.
func (c *control) export() [2]AreaState {
	out := c.areas
	for i := range out {
		out[i].Records = maps.Clone(out[i].Records)
	}
	return out
}

// tell hands an update to the control goroutine and waits until it is in force.
func (s *Server) tell(ctx context.Context, u update) {
	u.done = make(chan struct{})
	select {
	case s.updates <- u:
	case <-ctx.Done():
		return
	}
	select {
	case <-u.done:
	case <-ctx.Done():
	}
}
