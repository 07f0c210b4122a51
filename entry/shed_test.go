package entry

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
)

// TestShortageHeard guards against routers that turn different parts of the demand away, and against
// one that hears nothing and goes by a level of the past.
func TestShortageHeard(t *testing.T) {
	r := newRig(t)
	r.addReplica("a-1", "archive")
	n := r.startRouter(1)
	n.shedding.on.Store(true)
	cfg, now := n.view.Load().Config, time.Now()
	hear := func(name wire.HostID, m Member) {
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
		m.Name, m.Boot = name, 1
		n.peers.mergeMember(now, m)
	}
	assertShortage := func(t *testing.T, at time.Time, level, pending int) {
		t.Helper()
		sh := n.shortage(at, cfg, "archive", 100, false)
		assert.Equal(t, int(1000*sh.level[2]+0.5), level)
		sum := 0
		for _, n := range sh.Pending {
			sum += n
		}
		assert.Equal(t, sum, pending)
	}
	assertShortage(t, now, 0, 0)
	hear("r2", Member{Loads: map[fleet.ServiceID]Load{"archive": {Demand: (&demandReport{owner: true, levels: []int{0, 0, 400}, asked: []int{60, 0, 600}, pending: []int{1, 0, 20}}).encode()}}})
	assertShortage(t, now, 400, 21)
	t.Run("two owners", func(t *testing.T) {
		hear("r3", Member{Loads: map[fleet.ServiceID]Load{"archive": {Demand: (&demandReport{owner: true, levels: []int{0, 0, 800}}).encode()}}})
		assertShortage(t, now, 600, 21)
	})
	t.Run("a router that reports no demand", func(t *testing.T) {
		hear("r4", Member{Loads: map[fleet.ServiceID]Load{"archive": {Coming: 5, Waiting: 7, Rate: 100}}})
		assertShortage(t, now, 600, 33)
	})
	t.Run("a router that reports another demand", func(t *testing.T) {
		now = now.Add(time.Millisecond)
		hear("r3", Member{Loads: map[fleet.ServiceID]Load{"archive": {Demand: (&demandReport{owner: true, levels: []int{0, 0, 400}, pending: []int{2}}).encode()}}})
		assertShortage(t, now, 400, 35)
		hear("r4", Member{Loads: map[fleet.ServiceID]Load{"archive": {Waiting: 1, Demand: "\x01\xff"}}})
		assertShortage(t, now, 400, 24)
	})
	t.Run("nothing is heard any more", func(t *testing.T) { assertShortage(t, now.Add(ownerTimeout), 0, 0) })
}

// TestShed guards against requests that are refused in a shortage although their callers would wait,
// against refusals that don't say that the request has not run, and against a rule that stays in
// force when the setting is off. A peer that owns a queue turns all away, this router none: both go
// by the mean, so that of 24 requests some are turned away and some are not.
func TestShed(t *testing.T) {
	short := (&demandReport{owner: true, levels: slices.Repeat([]int{1000}, fleet.RankLevels)}).encode()
	for _, tc := range []struct {
		name             string
		on               bool
		load             Load // at the peer
		delayed, refused bool
	}{
		{"no shortage", true, Load{}, false, false},
		{"delayed", true, Load{Demand: short}, true, false},
		{"refused", true, Load{Waiting: 1 << 20, Demand: short}, false, true},
		{"off", false, Load{Demand: short}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.addReplica("e-1", "engine")
			r.addReplica("a-1", "archive")
			r.addReplica("s-1", "school")
			n := r.startRouter(3)
			n.shedding.on.Store(tc.on)
			refused := 0
			for i := range 24 {
				n.peers.mu.Lock()
				n.peers.mergeMember(time.Now(), Member{Name: "r2", Boot: 1, Leaving: true, Loads: map[fleet.ServiceID]Load{"archive": tc.load}})
				n.peers.mu.Unlock()
				resp, body, err := n.do(t, planCall(i))
				assert.NilError(t, err)
				if resp.StatusCode == http.StatusOK {
					continue
				}
				refused++
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				assert.Equal(t, body, "stages: shed\n")
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
			}
			assert.Equal(t, refused > 0, tc.refused)
			assert.Assert(t, refused < 24)
			log := r.log.String()
			assert.Equal(t, strings.Count(log, `"msg":"request shed"`), refused)
			assert.Equal(t, strings.Contains(log, `"msg":"admitted late"`), tc.delayed)
		})
	}
}

// TestDemand guards against a report that crashes the routers that read it, or that changes on its
// way.
func TestDemand(t *testing.T) {
	want := demandReport{owner: true, levels: []int{0, 300, 1000}, asked: []int{1, 70000}, pending: []int{5}}
	got, ok := want.encode().decode()
	assert.Assert(t, ok)
	d := want.encode()
	assert.Equal(t, got.encode(), d)
	assert.DeepEqual(t, got.levels, want.levels)
	for i := range d {
		_, ok := d[:i].decode()
		assert.Assert(t, !ok, "the first %d bytes", i)
	}
	for _, bad := range []Demand{"\x01\x11", "\x01\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x7f", "\x01\x00\x00\x01\x80\x80\x80\x80\x08"} {
		_, ok := bad.decode()
		assert.Assert(t, !ok, "%q", bad)
	}
}

// TestOrderGivesWay guards against urgent requests that are late behind less urgent ones, and
// against callers of those who learn only at their deadline that they were passed over.
func TestOrderGivesWay(t *testing.T) {
	r := newRig(t)
	archive := r.addReplica("a-1", "archive")
	archive.ServiceTime = 300 * time.Millisecond // the queue knows of 36 ms a call
	n := r.startRouter(1)
	sq := n.queues.find(shard.ID{Service: "archive"})
	waiting := func() int {
		sq.mu.Lock()
		defer sq.mu.Unlock()
		return sq.q.Len()
	}
	order := func(id string, rank, pieces int, aim time.Duration) (made chan Made) {
		o := Order{Request: wire.RequestID(id), Service: "archive", Pieces: pieces, Key: "k", Centre: "a", Rank: rank, Aim: aim, Left: 4 * time.Second, Bound: 30 * time.Millisecond}
		made = make(chan Made, 1)
		go func() { made <- n.queues.makePieces(context.Background(), o) }()
		return made
	}
	first := order("first", 1, 8, 2*time.Second)
	r.waitFor("the first order is in a call", func() bool { sq.mu.Lock(); defer sq.mu.Unlock(); return sq.q.View().Upstreams["a-1"].InFlight == 1 })
	var less []chan Made
	for i := range 12 {
		less = append(less, order(fmt.Sprint("less", i), 1, 8, 90*time.Millisecond))
	}
	r.waitFor("the others wait", func() bool { return waiting() == 96 })
	urgent := order("urgent", 0, 1, 200*time.Millisecond)
	r.waitFor("some give way", func() bool { return waiting() < 96 })
	yielded := 0
	for _, made := range less {
		select {
		case m := <-made:
			assert.Equal(t, m.Reason, reasonYielded)
			assert.Assert(t, m.Retry >= minYieldRetry)
			yielded++
		case <-time.After(10 * time.Millisecond):
		}
	}
	assert.Assert(t, yielded > 0 && yielded < len(less), "%d gave way", yielded)
	assert.Equal(t, (<-first).Reason, "", "it had begun")
	assert.Equal(t, (<-urgent).Reason, "")
}

// TestShedReload guards against a setting that takes effect only after a restart.
func TestShedReload(t *testing.T) {
	data, err := os.ReadFile("../examples/entry.toml")
	assert.NilError(t, err)
	off := strings.Replace(string(data), "shed = true", "shed = false", 1)
	path := filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, os.WriteFile(path, []byte(off), 0o600))
	cfg, err := LoadSettings(path)
	assert.NilError(t, err)
	log := new(logBuffer)
	s, err := New(cfg, path, log)
	assert.NilError(t, err)
	assert.Assert(t, !s.shedding.on.Load())
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	s.reload(syscall.SIGHUP.String())
	assert.Assert(t, s.shedding.on.Load())
	assert.Assert(t, s.reportDemands(time.Now(), nil) == nil, "there is no configuration yet")
}
