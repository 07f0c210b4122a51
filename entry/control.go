package entry

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/origin"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// snapshotInterval is the interval at which snapshots are published even without a
	// change, so that lapsed entries expire on time.
	snapshotInterval = 200 * time.Millisecond
	// maxReadAge is the age of the last read of an area, beyond watchWait, from which a
	// router takes the area's state from its peers.
	maxReadAge = 700 * time.Millisecond
	// slowUpdate is the time from which an update of the state is logged.
	slowUpdate = 200 * time.Millisecond
)

// View is an immutable snapshot of a router's configuration and upstreams.
type View struct {
	Config     *fleet.Config   // nil until a configuration has been read
	configFrom platform.Record // record of Config
	// Upstreams holds the upstreams that may receive work, by service.
	Upstreams  map[fleet.ServiceID][]fleet.Upstream
	OutCentres map[wire.DataCentreID]bool // data centres that are out of service
	// Listed reports whether all upstreams have been read at least once.
	Listed bool
	// At and LastRead hold, by platform.Area, the position reached and the time of the
	// store's last answer, read here or by a peer.
	At       [2]fleet.Position
	LastRead [2]Instant
}

// age returns the time since the store's last answer for an area, the time for which the host
// was suspended included.
func (v *View) age(a platform.Area) time.Duration { return bootNow().Sub(v.LastRead[a]) }

// version returns the version in force, 0 if there is none.
func (v *View) version() fleet.Version {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// AreaState is a router's copy of one area of the store, in the form in which routers
// send it to each other.
type AreaState struct {
	Era     fleet.Era                  // era of the store that At and the records' revisions belong to
	At      fleet.Revision             // revision reached
	Records map[string]platform.Record // keyed by recordKey
	Listed  bool                       // whether the whole area has been read at least once
	Age     time.Duration              // time since the last read, in an exported state
}

func (a *AreaState) position() fleet.Position { return fleet.Position{Era: a.Era, Revision: a.At} }

// State is everything that a router has read from the store, by platform.Area, and what it
// knows from before the store was restored.
type State struct {
	Areas  [2]AreaState
	Memory Memory
}

// Memory is what a router knows and a restored store may have lost.
type Memory struct {
	Config  platform.Record                   // configuration in force
	Roster  fleet.RosterMemory                // upstreams
	Centres map[wire.DataCentreID]HeldForPeer // data centres
}

// HeldForPeer is fleet.HeldCentre with the time left.
type HeldForPeer struct {
	Out  bool
	Left time.Duration
}

// update is the outcome of a read of one area, for the control goroutine.
type update struct {
	area platform.Area
	page platform.Page
	// full reports whether the page lists the whole area; otherwise it holds changes.
	full bool
	// fromPeer reports whether the page comes from another router.
	fromPeer  bool
	storeLost bool          // whether the store did not answer; page is empty then
	state     *State        // state of a peer whose memory is to be added; page is empty then
	err       error         // why it did not answer
	queuedAt  time.Time     // when it was handed to the control goroutine
	applied   chan struct{} // closed when the snapshot contains the update
}

// control holds the state behind the snapshots. Only its own goroutine uses it.
type control struct {
	s          *Server
	areas      [2]AreaState
	lastRead   [2]Instant
	storeLost  [2]bool
	roster     *fleet.Roster
	config     *fleet.Config
	configFrom platform.Record // record of config
	centres    *fleet.Centres
	observedAt Instant // last call of observeVersions
}

func newControl(s *Server) *control {
	c := &control{s: s, roster: fleet.NewRoster(), centres: fleet.NewCentres()}
	for i := range c.areas {
		c.areas[i].Records = map[string]platform.Record{}
	}
	return c
}

// run applies updates and answers state requests until ctx is done. It publishes a
// snapshot after each update and at every snapshotInterval.
func (c *control) run(ctx context.Context) error {
	tick := c.s.clock.Subscribe(snapshotInterval, "control")
	defer tick.Close()
	for {
		select {
		case u := <-c.s.updates:
			began := time.Now()
			c.apply(began, u)
			c.publish(time.Now())
			close(u.applied)
			if took, waited := time.Since(began), began.Sub(u.queuedAt); took+waited > slowUpdate {
				c.s.log.Warn("slow update of the state", "area", u.area, "records", len(u.page.Records), "peer", u.fromPeer,
					"waited_ms", waited.Milliseconds(), "took_ms", took.Milliseconds())
				c.s.incCounter("updates_slow")
			}
		case reply := <-c.s.stateRequests:
			reply <- c.export(time.Now())
		case <-tick.C:
			c.publish(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// apply applies one update. It ignores a page that is older than the state known, and
// changes of another era, which don't follow from that state.
func (c *control) apply(now time.Time, u update) {
	a := &c.areas[u.area]
	switch {
	case u.storeLost:
		c.markStoreLost(u.area, u.err)
		return
	case u.state != nil:
		c.learn(now, u.state)
		return
	}
	restored := a.position().Restored(u.page.Position)
	if u.page.Before(a.position()) || restored && !u.full {
		// A peer was behind, or a peer's state arrived before this read ended.
		c.s.log.Info("outdated state ignored", "area", u.area, "era", u.page.Era, "revision", u.page.Revision, "known", a.At,
			"known_era", a.Era, "records", len(u.page.Records), "full", u.full, "peer", u.fromPeer)
		c.s.incCounter("pages_ignored", "area", u.area.String())
		return
	}
	if !u.fromPeer {
		c.markStoreRegained(now, u.area)
	}
	c.lastRead[u.area] = max(c.lastRead[u.area], bootNow().Add(-time.Since(u.page.Answered)))
	if restored {
		c.enterEra(now, u)
	}
	if u.page.Era != 0 {
		a.Era = u.page.Era
	}
	if u.full {
		c.deleteUnlisted(now, u, restored)
	}
	for _, r := range u.page.Records {
		c.applyRecord(now, a, r, restored)
	}
	a.At, a.Listed = u.page.Revision, a.Listed || u.full
}

// enterEra prepares for the listing of a store that was restored from a copy. The
// revisions of the records known say nothing about those in the listing any more. Upstreams
// missing from the copy have the grace period to register again, and data centres that are
// out stay so until the operator has written again.
func (c *control) enterEra(now time.Time, u update) {
	a := &c.areas[u.area]
	c.s.log.Warn("store restored", "area", u.area, "era", u.page.Era, "before", a.Era, "revision", u.page.Revision, "known", a.At, "peer", u.fromPeer)
	c.s.incCounter("store_restored", "area", u.area.String())
	for key, r := range a.Records {
		r.Revision = 0
		a.Records[key] = r
	}
	switch u.area {
	case platform.AreaUpstreamRegistry:
		c.roster.StoreRestored(now)
	case platform.AreaOperatorSettings:
		listed := map[wire.DataCentreID]fleet.Revision{}
		for _, r := range u.page.Records {
			if r.Kind == platform.RecordCentreOut {
				listed[wire.DataCentreID(r.Name)] = r.Revision
			}
		}
		c.centres.Restored(now, listed, a.At)
	}
}

// markStoreLost records that the store does not answer for an area.
func (c *control) markStoreLost(area platform.Area, err error) {
	if !c.storeLost[area] {
		c.storeLost[area] = true
		c.s.lost[area].Store(true)
		c.s.log.Warn("store lost", "area", area, "revision", c.areas[area].At, "lag_ms", c.s.lag.current().Milliseconds(), "err", err)
		c.s.incCounter("store_lost", "area", area.String())
	}
	if area == platform.AreaUpstreamRegistry {
		c.roster.StoreLost()
	}
}

// markStoreRegained records that the store answers for an area.
func (c *control) markStoreRegained(now time.Time, area platform.Area) {
	if c.storeLost[area] {
		c.storeLost[area] = false
		c.s.lost[area].Store(false)
		c.s.log.Info("store regained", "area", area, "revision", c.areas[area].At)
	}
	if area == platform.AreaUpstreamRegistry {
		c.roster.StoreRegained(now)
	}
}

// deleteUnlisted deletes the records that a full listing does not contain. copied is that
// of applyRecord.
func (c *control) deleteUnlisted(now time.Time, u update, copied bool) {
	a := &c.areas[u.area]
	listed := map[string]bool{}
	for _, r := range u.page.Records {
		listed[recordKey(r)] = true
	}
	for key, r := range a.Records {
		if !listed[key] && !r.Deleted {
			c.applyRecord(now, a, platform.Record{Kind: r.Kind, Name: r.Name, Revision: max(r.Revision, u.page.Revision), Deleted: true}, copied)
		}
	}
}

// recordKey returns the key of a record in AreaState.Records.
func recordKey(r platform.Record) string {
	return string(rune('0'+int(r.Kind))) + r.Name
}

// applyRecord applies the new value or the deletion of a record, unless the same or a
// later revision of the record is known. copied is whether the record may come from the
// copy from which the store was restored.
func (c *control) applyRecord(now time.Time, a *AreaState, r platform.Record, copied bool) {
	key := recordKey(r)
	old, known := a.Records[key]
	if known && old.Revision >= r.Revision {
		if old.Revision > r.Revision || !bytes.Equal(old.Value, r.Value) {
			c.s.log.Info("outdated record ignored", "key", key, "revision", r.Revision, "known", old.Revision)
			c.s.incCounter("records_ignored")
		}
		return
	}
	if known && !r.Deleted && bytes.Equal(old.Value, r.Value) {
		a.Records[key] = r // written again
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
		if !copied { // otherwise Centres.Restored has it
			c.centres.Set(wire.DataCentreID(r.Name), !r.Deleted)
		}
		c.s.log.Info("data centre changed", "centre", r.Name, "out", !r.Deleted, "copied", copied, "revision", r.Revision)
	case platform.RecordUpstream:
		c.applyUpstream(now, r, copied)
	}
}

// applyConfig replaces the configuration unless the record is deleted, invalid or not
// newer than the one in force.
func (c *control) applyConfig(r platform.Record) {
	if r.Deleted {
		c.s.log.Warn("configuration deleted, keeping the previous one", "revision", r.Revision)
		return
	}
	cfg, err := platform.ParseConfig(r.Value)
	if err != nil {
		c.s.log.Error("invalid configuration, keeping the previous one", "revision", r.Revision, "err", err)
		c.s.incCounter("config_refused")
		return
	}
	if c.config != nil && cfg.Version <= c.config.Version {
		c.s.log.Warn("older configuration ignored", "version", cfg.Version, "known", c.config.Version)
		return
	}
	c.config, c.configFrom = cfg, r
	c.s.log.Info("configuration in force", "version", cfg.Version, "revision", r.Revision,
		"routes", len(cfg.Routes), "services", len(cfg.Services), "teams", len(cfg.Teams))
	c.s.incCounter("config_applied")
}

var errOtherWriter = errors.New("entry lacks the start of the upstream, which the one before has")

// applyUpstream adds, changes or removes an upstream. An upstream whose entry is invalid
// is removed. A copied entry that is older than what is known is ignored.
func (c *control) applyUpstream(now time.Time, r platform.Record, copied bool) {
	id := wire.UpstreamID(r.Name)
	if r.Deleted {
		c.roster.Remove(id, now)
		c.s.log.Info("upstream left", "upstream", id, "revision", r.Revision)
		return
	}
	u, err := platform.ParseUpstream(r.Name, r.Value)
	if err == nil && c.roster.LacksStart(u) {
		err = errOtherWriter
	}
	if err != nil {
		c.s.log.Warn("entry ignored", "err", err, "revision", r.Revision)
		c.s.incCounter("entries_ignored")
		c.roster.Remove(id, now)
		return
	}
	if !copied {
		c.roster.Put(u)
	} else if !c.roster.PutCopied(u) {
		c.s.log.Info("copied entry ignored", "upstream", id, "born", u.Born, "sequence", u.Sequence, "revision", r.Revision)
		c.s.incCounter("copies_ignored")
		return
	}
	c.s.log.Info("upstream entry", "upstream", id, "service", u.Service, "address", u.Address, "centre", u.Centre,
		"software", u.Software, "draining", u.Draining, "cold", u.ColdRemaining.String(), "revision", r.Revision)
}

// observeVersions records the software versions of all registered upstreams, as long as they
// are read. While the process was suspended, versions may have come and gone.
func (c *control) observeVersions(now time.Time) {
	boot := bootNow()
	if c.observedAt != 0 && boot.Sub(c.observedAt) > origin.MaxGap {
		c.s.origins.history.Reset()
	}
	c.observedAt = boot
	const area = platform.AreaUpstreamRegistry
	if c.areas[area].Listed && boot.Sub(c.lastRead[area]) < maxReadAge+watchWait {
		c.s.origins.history.Observe(now, c.roster.Entries())
	}
}

// publish builds a new snapshot and applies it to the targets and the stage queues.
func (c *control) publish(now time.Time) {
	c.observeVersions(now)
	v := &View{
		Config: c.config, configFrom: c.configFrom, Upstreams: map[fleet.ServiceID][]fleet.Upstream{}, OutCentres: c.centres.Out(now),
		Listed: c.areas[platform.AreaUpstreamRegistry].Listed, LastRead: c.lastRead,
	}
	var usable []fleet.Upstream
	for svc, us := range c.roster.Usable(now) {
		usable = append(usable, us...)
		us = slices.DeleteFunc(us, func(u fleet.Upstream) bool { return v.OutCentres[u.Centre] })
		v.Upstreams[svc] = us
	}
	for i := range c.areas {
		v.At[i] = c.areas[i].position()
	}
	c.s.targets.retain(now, usable)
	live := make(map[wire.UpstreamID]bool, len(usable))
	for _, u := range usable {
		live[u.ID] = true
	}
	c.s.notices.Retain(now, func(id wire.UpstreamID) bool { return live[id] })
	c.s.limits.Retain(now, func(id wire.UpstreamID) bool { return live[id] })
	c.s.queues.update(v) // requests that see v need its queues
	c.s.view.Store(v)
}

// export returns a copy of the state, for a peer.
func (c *control) export(now time.Time) State {
	out := State{Areas: c.areas, Memory: Memory{Config: c.configFrom, Roster: c.roster.Memory(), Centres: map[wire.DataCentreID]HeldForPeer{}}}
	for i := range out.Areas {
		out.Areas[i].Records = maps.Clone(out.Areas[i].Records)
		out.Areas[i].Age = bootNow().Sub(c.lastRead[i])
	}
	for id, h := range c.centres.Held(now) {
		out.Memory.Centres[id] = HeldForPeer{h.Out, h.Until.Sub(now)}
	}
	return out
}

// learn adds the memory of a peer. What the store says after the peer read it goes first.
func (c *control) learn(now time.Time, s *State) {
	if m := s.Memory.Config; len(m.Value) > 0 && !bytes.Equal(m.Value, c.configFrom.Value) {
		c.applyConfig(m)
	}
	c.roster.Learn(s.Memory.Roster, now)
	const op = platform.AreaOperatorSettings
	if s.Areas[op].position().Before(c.areas[op].position()) {
		return
	}
	held := map[wire.DataCentreID]fleet.HeldCentre{}
	for id, h := range s.Memory.Centres {
		held[id] = fleet.HeldCentre{Out: h.Out, Until: now.Add(min(h.Left, fleet.LapseGrace))}
	}
	c.centres.Learn(held)
}

// applyUpdate sends an update to the control goroutine and waits until the snapshot
// contains it or ctx is done.
func (s *Server) applyUpdate(ctx context.Context, u update) {
	u.applied, u.queuedAt = make(chan struct{}), time.Now()
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
