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
	// snapshotInterval is how often the snapshot is renewed without a change, so that
	// lapsed entries end on time.
	snapshotInterval = 200 * time.Millisecond
	// maxContactAge is the age of the last read of the store from which a router
	// takes over what its peers have read.
	maxContactAge = 700 * time.Millisecond
)

// View is an immutable snapshot of what a router knows of its deployment.
type View struct {
	Config *fleet.Config // nil until one is known
	// Upstreams holds the upstreams that may receive work, by service.
	Upstreams  map[fleet.ServiceID][]fleet.Upstream
	OutCentres map[wire.DataCentreID]bool // data centres that are out
	// Listed says that the upstreams were read at least once.
	Listed bool
	// Revisions and Contact are the revision reached in each area and the time of the
	// last read, from the store itself or from a peer.
	Revisions [2]fleet.Revision
	LastRead  [2]time.Time
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
	// fromPeer says that the page comes from another router.
	fromPeer  bool
	storeLost bool // the store did not answer; page is empty
	applied   chan struct{}
}

// control owns what the router knows; only its goroutine uses it.
type control struct {
	s          *Server
	areas      [2]AreaState
	lastRead   [2]time.Time
	storeLost  [2]bool
	roster     *fleet.Roster
	config     *fleet.Config
	outCentres map[wire.DataCentreID]bool
}

func newControl(s *Server) *control {
	c := &control{s: s, roster: fleet.NewRoster(), outCentres: map[wire.DataCentreID]bool{}}
	for i := range c.areas {
		c.areas[i].Records = map[string]platform.Record{}
	}
	return c
}

// run takes updates until ctx is done and publishes a snapshot after each.
func (c *control) run(ctx context.Context) error {
	tick := c.s.ticks.Subscribe(snapshotInterval, "control")
	defer tick.Close()
	for {
		select {
		case u := <-c.s.updates:
			c.apply(time.Now(), u)
			c.publish(time.Now())
			close(u.applied)
		case q := <-c.s.asked:
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
	if u.storeLost {
		c.markStoreLost(u.area)
		return
	}
	if u.page.At < a.At {
		// A peer that is behind, or a read that was overtaken by a peer's news.
		c.s.log.Debug("older state ignored", "area", u.area, "revision", u.page.At, "known", a.At)
		return
	}
	if !u.fromPeer {
		c.markStoreBack(now, u.area)
	}
	c.lastRead[u.area] = now
	if u.full {
		c.deleteUnlisted(now, u)
	}
	for _, r := range u.page.Records {
		c.applyRecord(now, a, r)
	}
	a.At, a.Listed = u.page.At, a.Listed || u.full
}

// markStoreLost notes that the store does not answer.
func (c *control) markStoreLost(area platform.Area) {
	if !c.storeLost[area] {
		c.storeLost[area] = true
		c.s.lost[area].Store(true)
		c.s.log.Warn("store lost", "area", area, "revision", c.areas[area].At)
		c.s.count("store_lost", "area", area.String())
	}
	if area == platform.Upstreams {
		c.roster.Away()
	}
}

// markStoreBack notes that the store answers again.
func (c *control) markStoreBack(now time.Time, area platform.Area) {
	if c.storeLost[area] {
		c.storeLost[area] = false
		c.s.lost[area].Store(false)
		c.s.log.Info("store regained", "area", area, "revision", c.areas[area].At)
	}
	if area == platform.Upstreams {
		c.roster.Back(now)
	}
}

// deleteUnlisted removes what a full listing does not hold.
func (c *control) deleteUnlisted(now time.Time, u update) {
	a := &c.areas[u.area]
	listed := map[string]bool{}
	for _, r := range u.page.Records {
		listed[recordKey(r)] = true
	}
	for key, r := range a.Records {
		if !listed[key] && !r.Deleted {
			c.applyRecord(now, a, platform.Record{Kind: r.Kind, Name: r.Name, Revision: max(r.Revision, u.page.At), Deleted: true})
		}
	}
}

func recordKey(r platform.Record) string {
	return string(rune('0'+int(r.Kind))) + r.Name
}

// applyRecord takes in one item or deletion unless a later one is known.
func (c *control) applyRecord(now time.Time, a *AreaState, r platform.Record) {
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
		c.applyConfig(r)
	case platform.RecordCentreOut:
		c.applyCentreOut(r)
	case platform.RecordUpstream:
		c.applyUpstream(now, r)
	}
}

func (c *control) applyConfig(r platform.Record) {
	if r.Deleted {
		c.s.log.Warn("configuration deleted, the last one stays in force", "revision", r.Revision)
		return
	}
	cfg, err := platform.ParseConfig(r.Value)
	if err != nil {
		c.s.log.Error("configuration refused, the last one stays in force", "revision", r.Revision, "err", err)
		c.s.count("config_refused")
		return
	}
	if c.config != nil && cfg.Version <= c.config.Version {
		c.s.log.Warn("older configuration ignored", "version", cfg.Version, "known", c.config.Version)
		return
	}
	c.config = cfg
	c.s.log.Info("configuration in force", "version", cfg.Version, "revision", r.Revision,
		"routes", len(cfg.Routes), "services", len(cfg.Services), "teams", len(cfg.Teams))
	c.s.count("config_applied")
}

func (c *control) applyCentreOut(r platform.Record) {
	centre := wire.DataCentreID(r.Name)
	if r.Deleted {
		delete(c.outCentres, centre)
	} else {
		c.outCentres[centre] = true
	}
	c.s.log.Info("data centre changed", "centre", centre, "out", !r.Deleted, "revision", r.Revision)
}

func (c *control) applyUpstream(now time.Time, r platform.Record) {
	id := wire.UpstreamID(r.Name)
	if r.Deleted {
		c.roster.Remove(id, now)
		c.s.log.Info("upstream left", "upstream", id, "revision", r.Revision)
		return
	}
	u, err := platform.ParseUpstream(r.Name, r.Value)
	if err != nil {
		c.s.log.Warn("entry ignored", "err", err, "revision", r.Revision)
		c.s.count("entries_ignored")
		c.roster.Remove(id, now)
		return
	}
	c.roster.Put(u)
	c.s.log.Info("upstream entry", "upstream", id, "service", u.Service, "address", u.Address, "centre", u.Centre,
		"draining", u.Draining, "cold", u.ColdFor.String(), "revision", r.Revision)
}

// publish replaces the snapshot.
func (c *control) publish(now time.Time) {
	v := &View{
		Config: c.config, Upstreams: map[fleet.ServiceID][]fleet.Upstream{}, OutCentres: maps.Clone(c.outCentres),
		Listed: c.areas[platform.Upstreams].Listed, LastRead: c.lastRead,
	}
	var all []fleet.Upstream
	for svc, us := range c.roster.Usable(now) {
		all = append(all, us...)
		us = slices.DeleteFunc(us, func(u fleet.Upstream) bool { return c.outCentres[u.Centre] })
		v.Upstreams[svc] = us
	}
	for i := range c.areas {
		v.Revisions[i] = c.areas[i].At
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

// applyUpdate hands an update to the control goroutine and waits until it is in force.
func (s *Server) applyUpdate(ctx context.Context, u update) {
	u.applied = make(chan struct{})
	select {
	case s.updates <- u:
	case <-ctx.Done():
		return
	}
	select {
	case <-u.applied:
	case <-ctx.Done():
	}
}
