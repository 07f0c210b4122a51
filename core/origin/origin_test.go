package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
)

var start = time.Unix(1000, 0)

func record(id wire.RequestID, v fleet.SoftwareVersion) Record {
	return Record{Stream: id, Service: "llm", Version: v, Left: 10 * time.Second}
}

func assertVersion(t *testing.T, table *Table, at time.Time, id wire.RequestID, want fleet.SoftwareVersion) {
	t.Helper()
	r, ok := table.Find(at, id)
	assert.Equal(t, ok, want != "", "stream %s", id)
	assert.Equal(t, r.Version, want)
}

// TestTable guards against records that are replaced by contradicting ones, kept for ever, or
// forgotten while a stream is taken up again and again.
func TestTable(t *testing.T) {
	t.Run("first version holds", func(t *testing.T) {
		var table Table
		table.Add(start, record("a", "v1"))
		table.Add(start, record("a", "v2"))
		assertVersion(t, &table, start, "a", "v1")
		assertVersion(t, &table, start, "b", "")
	})
	t.Run("time", func(t *testing.T) {
		var table Table
		table.Add(start, record("a", "v1"))
		table.Add(start.Add(9*time.Second), record("a", "v1"))
		assertVersion(t, &table, start.Add(18*time.Second), "a", "v1")
		assertVersion(t, &table, start.Add(19*time.Second), "a", "")
		rs := table.Records(start.Add(18*time.Second), func(wire.RequestID) bool { return true })
		assert.DeepEqual(t, rs, []Record{{Stream: "a", Service: "llm", Version: "v1", Left: time.Second}})
	})
	t.Run("bound", func(t *testing.T) {
		var table Table
		for i := range maxRecords + 10 {
			table.Add(start, record(wire.RequestID(fmt.Sprint(i)), "v1"))
		}
		assert.Equal(t, table.Len(), maxRecords)
		assertVersion(t, &table, start, "9", "")
		assertVersion(t, &table, start, "10", "v1")
	})
	t.Run("old ones are removed", func(t *testing.T) {
		var table Table
		table.Add(start, record("a", "v1"))
		table.Add(start.Add(time.Minute), record("b", "v1"))
		assert.Equal(t, table.Len(), 1)
	})
}

// TestHistory guards against a version that began streams and is taken for one that never was
// there, because the observation began later or had a gap.
func TestHistory(t *testing.T) {
	ups := func(vs ...fleet.SoftwareVersion) (us []fleet.Upstream) {
		for _, v := range vs {
			us = append(us, fleet.Upstream{Service: "llm", Software: v})
		}
		return us
	}
	const window = 20 * time.Second
	observe := func(h *History, from, till time.Duration, us []fleet.Upstream) {
		for at := from; at <= till; at += time.Second {
			h.Observe(start.Add(at), us)
		}
	}
	for _, tc := range []struct {
		name    string
		play    func(h *History)
		want    []fleet.SoftwareVersion
		covered bool
	}{
		{"one version", func(h *History) { observe(h, 0, 30*time.Second, ups("v1", "v1")) }, []fleet.SoftwareVersion{"v1"}, true},
		{"started lately", func(h *History) { observe(h, 15*time.Second, 30*time.Second, ups("v1")) }, []fleet.SoftwareVersion{"v1"}, false},
		{"two versions", func(h *History) { observe(h, 0, 30*time.Second, ups("v2", "v1")) }, []fleet.SoftwareVersion{"v1", "v2"}, true},
		{"old one just left", func(h *History) {
			observe(h, 0, 15*time.Second, ups("v1"))
			observe(h, 16*time.Second, 30*time.Second, ups("v2"))
		}, []fleet.SoftwareVersion{"v1", "v2"}, true},
		{"old one left long ago", func(h *History) {
			observe(h, 0, 5*time.Second, ups("v1"))
			observe(h, 6*time.Second, 30*time.Second, ups("v2"))
		}, []fleet.SoftwareVersion{"v2"}, true},
		{"gap", func(h *History) {
			observe(h, 0, 15*time.Second, ups("v1"))
			observe(h, 19*time.Second, 30*time.Second, ups("v1"))
		}, []fleet.SoftwareVersion{"v1"}, false},
		{"suspended", func(h *History) {
			observe(h, 0, 15*time.Second, ups("v1"))
			h.Reset()
			observe(h, 16*time.Second, 30*time.Second, ups("v1"))
		}, []fleet.SoftwareVersion{"v1"}, false},
		{"not observed any more", func(h *History) { observe(h, 0, 26*time.Second, ups("v1")) }, []fleet.SoftwareVersion{"v1"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var h History
			tc.play(&h)
			got, covered := h.Versions(start.Add(30*time.Second), "llm", window)
			assert.DeepEqual(t, got, tc.want)
			assert.Equal(t, covered, tc.covered)
		})
	}
	for _, timeout := range []time.Duration{0, time.Second, 15 * time.Second, time.Hour} {
		w := Window(timeout)
		assert.Assert(t, w >= minWindow && w <= maxWindow && (w >= timeout || w == maxWindow), "window of %v", timeout)
	}
}

// TestResolve guards against a stream that goes on at a version which nobody knows to have
// begun it, and against one that is refused though the version is known.
func TestResolve(t *testing.T) {
	seen := func(covered bool, vs ...fleet.SoftwareVersion) Answer { return Answer{Versions: vs, Covered: covered} }
	known := Answer{Record: record("a", "v1")}
	for _, tc := range []struct {
		name    string
		answers []Answer
		sole    fleet.ServiceID
		want    fleet.SoftwareVersion
	}{
		{"record", []Answer{seen(true, "v1", "v2"), known}, "llm", "v1"},
		{"record of one of several services", []Answer{known}, "", "v1"},
		{"no record, two versions", []Answer{seen(true, "v1", "v2")}, "llm", ""},
		{"no record, one version", []Answer{seen(true, "v1"), seen(false, "v1")}, "llm", "v1"},
		{"no record, one version, several services", []Answer{seen(true, "v1")}, "", ""},
		{"another router has seen another version", []Answer{seen(true, "v1"), seen(false, "v2")}, "llm", ""},
		{"all started lately", []Answer{seen(false, "v1"), seen(false, "v1")}, "llm", ""},
		{"nothing seen", []Answer{seen(true)}, "llm", ""},
		{"no answer", nil, "llm", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, ok := Resolve(tc.answers, tc.sole)
			assert.Equal(t, ok, tc.want != "")
			if ok {
				assert.Equal(t, r.Version, tc.want)
				assert.Equal(t, r.Service, fleet.ServiceID("llm"))
			}
		})
	}
}

// TestOwners guards against records that are all lost with one data centre, or not found any
// more because one router has stopped or started.
func TestOwners(t *testing.T) {
	var rs []shard.Router
	for i := range 9 {
		rs = append(rs, shard.Router{Name: wire.HostID(fmt.Sprint("r", i)), Centre: wire.DataCentreID(fmt.Sprint("c", i%3))})
	}
	centre := func(name wire.HostID) wire.DataCentreID { return rs[name[1]-'0'].Centre }
	for i := range 200 {
		id := wire.RequestID(fmt.Sprint("s", i))
		for self := range rs {
			began := rs[self].Name
			owners := Owners(id, began, rs)
			assert.Equal(t, len(owners), copies)
			assert.Assert(t, centre(owners[0]) != centre(owners[1]))
			assert.Assert(t, !slices.Contains(owners, began), "stream %s: the router that began it is its own copy", id)
			assertAsked(t, id, owners, rs)
			for gone := range rs {
				rest := slices.Delete(slices.Clone(rs), gone, gone+1)
				assertAsked(t, id, owners, rest)
				if gone != self {
					assertAsked(t, id, owners, slices.DeleteFunc(rest, func(r shard.Router) bool { return r.Name == began }))
				}
			}
		}
	}
	assert.Equal(t, len(Owners("a", "r0", rs[:1])), 0)
	assert.DeepEqual(t, Owners("a", "r1", rs[:1]), []wire.HostID{"r0"})
	assert.Equal(t, len(Owners("a", "r0", nil)), 0)
	assert.Equal(t, len(Holders("a", rs[:2])), 2)
}

// TestOwnersKilled guards against records that are lost or not found when the router that began the
// stream and two others are killed at the same moment.
func TestOwnersKilled(t *testing.T) {
	for _, centres := range []int{1, 3, 4} {
		var rs []shard.Router
		for i := range 9 {
			rs = append(rs, shard.Router{Name: wire.HostID(fmt.Sprint("r", i)), Centre: wire.DataCentreID(fmt.Sprint("c", i%centres))})
		}
		for i := range 60 {
			id := wire.RequestID(fmt.Sprint("s", i))
			began := rs[i%len(rs)].Name
			owners := Owners(id, began, rs)
			for a := range rs {
				for b := range a {
					rest := slices.DeleteFunc(slices.Clone(rs), func(r shard.Router) bool {
						return r.Name == began || r.Name == rs[a].Name || r.Name == rs[b].Name
					})
					assertAsked(t, id, owners, rest)
				}
			}
		}
	}
}

// assertAsked asserts that at least one owner of a record that is among the routers is asked.
func assertAsked(t *testing.T, id wire.RequestID, owners []wire.HostID, rs []shard.Router) {
	t.Helper()
	holders := Holders(id, rs)
	asked := slices.ContainsFunc(owners, func(o wire.HostID) bool { return slices.Contains(holders, o) })
	assert.Assert(t, asked, "stream %s: no owner of %v is asked of %v", id, owners, holders)
}

// TestOfReaders guards against a guess when caches of several versions hold a prompt.
func TestOfReaders(t *testing.T) {
	type versions = []fleet.SoftwareVersion
	for _, tc := range []struct {
		readers versions
		want    fleet.SoftwareVersion
	}{{nil, ""}, {versions{"v1"}, "v1"}, {versions{"v1", "v1"}, "v1"}, {versions{"v1", "v2"}, ""}} {
		v, ok := OfReaders(tc.readers)
		assert.Equal(t, ok, tc.want != "")
		assert.Equal(t, v, tc.want)
	}
}
