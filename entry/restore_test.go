package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// restoredRig is a rig with one router and two upstreams of one service, whose store can be
// restored.
type restoredRig struct {
	*rig
	n             *node
	first, second *site.Replica
}

func newRestoredRig(t *testing.T) *restoredRig {
	t.Helper()
	r := newRig(t)
	rr := &restoredRig{rig: r, first: r.addReplica("i-1", "desk"), second: r.addReplica("i-2", "desk")}
	rr.n = r.startRouter(2)
	return rr
}

// putVersion writes a configuration with the usual routes and one for each extra host.
func (r *rig) putVersion(version int, hosts ...string) {
	rs := routes
	for _, h := range hosts {
		rs = append([]site.Route{{Name: h, Host: h, Prefix: "/", Kind: "safe", Service: "desk", Timeout: 8000, TargetLatency: 300, Attempts: 1}}, rs...)
	}
	r.site.Store.PutJSON("op/config", site.Config(version, rs, site.Services, apiKeys))
}

// waitForVersion waits until a version is in force at a router.
func (r *rig) waitForVersion(n *node, version int) {
	r.t.Helper()
	r.waitFor("the version is in force", func() bool {
		c := n.view.Load().Config
		return c != nil && int(c.Version) == version
	})
}

// away runs f while the store answers no call, after the router has noticed.
func (r *restoredRig) away(f func(s *site.Store)) {
	r.t.Helper()
	r.site.Store.SetMode(site.Reset)
	r.waitFor("the router notices that the store is lost", func() bool { return r.n.storeLost(0) && r.n.storeLost(1) })
	f(r.site.Store)
	r.site.Store.SetMode(site.Up)
}

// TestChangeAfterRestore guards against a configuration that is never in force because it
// was written at a revision that the store had given out before it was restored.
func TestChangeAfterRestore(t *testing.T) {
	for name, versions := range map[string][]int{
		"below the known revision": {4},
		"at the known revision":    {4, 5},
		"above it":                 {4, 5, 6, 7},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestoredRig(t)
			old := r.site.Store.Copy()
			r.putVersion(2)
			r.putVersion(3)
			r.waitForVersion(r.n, 3)
			r.away(func(s *site.Store) {
				s.Restore(old)
				for _, v := range versions {
					r.putVersion(v)
				}
			})
			r.waitForVersion(r.n, versions[len(versions)-1])
			r.putVersion(9)
			r.waitForVersion(r.n, 9)
		})
	}
}

// usable returns the upstreams that the router may use.
func (r *restoredRig) usable() (ids []string) {
	for _, u := range r.n.view.Load().Upstreams["desk"] {
		ids = append(ids, string(u.ID))
	}
	return ids
}

// waitForEra waits until the router has read the store in its present era.
func (r *restoredRig) waitForEra(era int) {
	r.t.Helper()
	r.waitFor("the router has read the restored store", func() bool {
		v := r.n.view.Load()
		return int(v.At[0].Era) == era && int(v.At[1].Era) == era
	})
}

// TestUpstreamAfterRestore guards against requests to an upstream that the restored store
// lists as it was before it drained or left, and against the loss of one that the copy lacks.
func TestUpstreamAfterRestore(t *testing.T) {
	t.Run("draining since", func(t *testing.T) {
		r := newRestoredRig(t)
		old := r.site.Store.Copy()
		r.site.Store.PutJSON("servers/i-2", r.second.Entry("draining"))
		r.waitForUpstreams(r.n, 1)
		r.away(func(s *site.Store) { s.Restore(old) })
		r.waitForEra(2)
		assert.DeepEqual(t, r.usable(), []string{"i-1"})
		r.site.Store.Compact()
		r.away(func(*site.Store) {})
		r.waitFor("the store is read again", func() bool { return !r.n.storeLost(1) })
		assert.DeepEqual(t, r.usable(), []string{"i-1"})
	})
	t.Run("left since", func(t *testing.T) {
		r := newRestoredRig(t)
		old := r.site.Store.Copy()
		r.site.Store.Delete("servers/i-2")
		r.waitForUpstreams(r.n, 1)
		r.away(func(s *site.Store) { s.Restore(old) })
		r.waitForEra(2)
		assert.DeepEqual(t, r.usable(), []string{"i-1"})
		r.site.Store.PutJSON("servers/i-2", r.second.Entry("ready"))
		r.waitForUpstreams(r.n, 2)
	})
	t.Run("registered since", func(t *testing.T) {
		r := newRestoredRig(t)
		old := r.site.Store.Copy()
		third := r.addReplica("i-3", "desk")
		r.waitForUpstreams(r.n, 3)
		r.away(func(s *site.Store) { s.Restore(old) })
		r.waitForEra(2)
		assert.DeepEqual(t, r.usable(), []string{"i-1", "i-2", "i-3"})
		at := r.site.Store.PutJSON("servers/i-3", third.Entry("ready"))
		r.waitFor("the entry is read", func() bool { return int64(r.n.view.Load().At[1].Revision) >= at })
		r.waitForUpstreams(r.n, 3)
	})
}

// TestCentreAfterRestore guards against requests to a data centre that was taken out of
// service after the copy from which the store was restored, and against one that stays out
// although it was taken back.
func TestCentreAfterRestore(t *testing.T) {
	t.Run("taken out since", func(t *testing.T) {
		r := newRestoredRig(t)
		old := r.site.Store.Copy()
		r.site.Store.PutJSON("op/evacuate/a", map[string]any{})
		r.waitForUpstreams(r.n, 0)
		later := r.site.Store.Copy()
		r.away(func(s *site.Store) { s.Restore(old) })
		r.waitForEra(2)
		assert.Equal(t, len(r.usable()), 0)
		r.site.Store.WriteAgain(later)
		r.site.Store.Delete("op/evacuate/a")
		r.waitForUpstreams(r.n, 2)
	})
	t.Run("taken back since", func(t *testing.T) {
		r := newRestoredRig(t)
		r.site.Store.PutJSON("op/evacuate/a", map[string]any{})
		r.waitForUpstreams(r.n, 0)
		old := r.site.Store.Copy()
		r.site.Store.Delete("op/evacuate/a")
		r.waitForUpstreams(r.n, 2)
		r.away(func(s *site.Store) { s.Restore(old) })
		r.waitForEra(2)
		assert.Equal(t, len(r.usable()), 2)
	})
}

// TestStartAfterRestore guards against a router that starts while the restored store lacks
// what was written last, and serves by an older configuration, or sends requests to draining
// upstreams, to some that have left, and to data centres that are out.
func TestStartAfterRestore(t *testing.T) {
	r := newRestoredRig(t)
	third := r.addReplica("i-3", "desk")
	third.Centre = "b"
	r.site.Store.PutJSON("servers/i-3", third.Entry("ready"))
	fourth := r.addReplica("i-4", "desk")
	r.waitForUpstreams(r.n, 4)
	old := r.site.Store.Copy()
	r.putVersion(7, "new.example")
	r.site.Store.Delete("servers/i-2")
	r.site.Store.PutJSON("servers/i-4", fourth.Entry("draining"))
	r.site.Store.PutJSON("op/evacuate/b", map[string]any{})
	r.waitForVersion(r.n, 7)
	r.waitForUpstreams(r.n, 1)
	r.away(func(s *site.Store) { s.Restore(old) })
	r.waitForEra(2)
	late := &restoredRig{rig: r.rig, n: r.start(r.settings("r2", r.n.cfg.Peers))}
	late.waitForVersion(late.n, 7)
	assert.DeepEqual(t, late.usable(), []string{"i-1"})
}
