package entry

import (
	"bytes"
	"encoding/gob"
	"io"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/gossip"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
)

// formerMember and formerBeat are the heartbeat of a build without digests.
type formerMember struct {
	Name    wire.HostID
	Address wire.Address
	Centre  wire.DataCentreID
	Boot    int64
	Age     time.Duration
	Loads   map[fleet.ServiceID]Load
	CPU     float64
}

type formerBeat struct {
	From    formerMember
	Members []formerMember
	Strikes []crash.Strike
}

// recode encodes from and decodes it into to, as net/rpc does.
func recode(t *testing.T, from, to any) {
	t.Helper()
	var b bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&b).Encode(from))
	assert.NilError(t, gob.NewDecoder(&b).Decode(to))
}

// newBeatServer returns a router that does not run.
func newBeatServer(t *testing.T, name string) *Server {
	t.Helper()
	s, err := New(Settings{Name: wire.HostID(name), Peers: "127.0.0.1:1", Centre: "a", Cores: 0.5, Level: "info"}, "", io.Discard)
	assert.NilError(t, err)
	return s
}

// exchangeBeats plays a call of one router to another at the given time and its answer, which it
// returns.
func exchangeBeats(t *testing.T, now time.Time, from, to *Server) (call, answer Beat) {
	t.Helper()
	recode(t, from.peers.composeHeartbeat(now, beatCall, to.cfg.Name), &call)
	to.peers.mergeHeartbeat(now, call)
	recode(t, to.peers.composeHeartbeat(now, beatAnswer, from.cfg.Name), &answer)
	from.peers.mergeHeartbeat(now, answer)
	return call, answer
}

// known returns the record of a router, without its age and version.
func (p *peers) known(name wire.HostID) Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil {
		return Member{}
	}
	out := m.Member
	out.Age, out.Version = 0, gossip.Version{}
	return out
}

// TestBeatOfChanges guards against heartbeats that tell a neighbour what it knows, against
// changes of any field that are not told, and against members that lose what a brief heartbeat
// leaves out.
func TestBeatOfChanges(t *testing.T) {
	now := time.Now()
	r1, r2 := newBeatServer(t, "r1"), newBeatServer(t, "r2")
	third := Member{Name: "r3", Address: "127.0.0.1:3", Centre: "b", Boot: 3, CPU: 0.2}
	hear := func(change func(m *Member)) {
		third.Version = third.Version.Next(true)
		change(&third)
		now = now.Add(heartbeatInterval)
		r2.peers.mu.Lock()
		defer r2.peers.mu.Unlock()
		r2.peers.mergeMember(now, third)
	}
	hear(func(*Member) {})
	for range 3 {
		exchangeBeats(t, now, r1, r2)
	}
	_, answer := exchangeBeats(t, now, r1, r2)
	assert.Equal(t, len(answer.Members), 0, "nothing has changed")
	assert.Equal(t, answer.From.Address, wire.Address(""))

	fields := reflect.TypeFor[Member]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		if slices.Contains([]string{"Name", "Address", "Centre", "Boot", "CPU", "Age", "Version", "Brief"}, name) {
			continue // what never changes in a run, and what heartbeats set
		}
		t.Run(name, func(t *testing.T) {
			hear(func(m *Member) { setField(t, reflect.ValueOf(m).Elem().Field(i)) })
			_, answer := exchangeBeats(t, now, r1, r2)
			assert.Equal(t, len(answer.Members), 1)
			assert.Assert(t, answer.Members[0].Brief)
			want := third
			want.Version = gossip.Version{}
			assert.DeepEqual(t, r1.peers.known("r3"), want)
		})
	}
	t.Run("no change", func(t *testing.T) {
		third.Version = third.Version.Next(false)
		now = now.Add(heartbeatInterval)
		r2.peers.mu.Lock()
		r2.peers.mergeMember(now, third)
		r2.peers.mu.Unlock()
		_, answer := exchangeBeats(t, now, r1, r2)
		assert.Equal(t, len(answer.Members), 0)
		assert.Equal(t, r1.peers.members["r3"].seenAt, now)
	})
	t.Run("own change", func(t *testing.T) {
		now = now.Add(heartbeatInterval)
		r1.unqueued.byService["archive"] = Load{Coming: 4}
		call, _ := exchangeBeats(t, now, r1, r2)
		assert.Assert(t, call.From.Brief)
		assert.Equal(t, r2.peers.known("r1").Loads["archive"].Coming, 4)
		assert.Equal(t, r2.peers.known("r1").Address, wire.Address("127.0.0.1:1"))
	})
	t.Run("restarted neighbour", func(t *testing.T) {
		r1 = newBeatServer(t, "r1")
		for range 2 {
			exchangeBeats(t, now, r2, r1)
		}
		assert.Equal(t, r1.peers.known("r3").Address, third.Address)
		assert.Equal(t, r1.peers.known("r2").Centre, wire.DataCentreID("a"))
	})
}

// setField gives a field a value other than zero.
func setField(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(7)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.String:
		v.SetString("x")
	case reflect.Struct:
		for i := range v.NumField() {
			setField(t, v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setField(t, v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setField(t, key)
		setField(t, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		t.Fatalf("no value for a %s", v.Type())
	}
}

// TestBeatOfFormerBuild guards against a router of a build without digests that is told changes
// only, or whose heartbeats are not understood.
func TestBeatOfFormerBuild(t *testing.T) {
	now := time.Now()
	r1 := newBeatServer(t, "r1")
	for i := range 5 {
		now = now.Add(heartbeatInterval)
		var b, heard Beat
		former := formerBeat{
			From:    formerMember{Name: "r2", Address: "127.0.0.1:2", Boot: 2, Loads: map[fleet.ServiceID]Load{"archive": {Coming: i}}},
			Members: []formerMember{{Name: "r3", Address: "127.0.0.1:3", Boot: 3, Age: time.Millisecond}, {Name: "r1", Boot: r1.peers.self.Boot}},
		}
		recode(t, former, &b)
		r1.peers.mergeHeartbeat(now, b)
		assert.Equal(t, r1.peers.known("r2").Loads["archive"].Coming, i)
		assert.Equal(t, r1.peers.known("r3").Address, wire.Address("127.0.0.1:3"))
		for _, kind := range []beatKind{beatCall, beatAnswer} {
			var got formerBeat
			recode(t, r1.peers.composeHeartbeat(now, kind, "r2"), &got)
			assert.Equal(t, got.From.Address, r1.peers.self.Address)
			assert.Assert(t, slices.ContainsFunc(got.Members, func(m formerMember) bool { return m.Name == "r3" && m.Address != "" }))
		}
		recode(t, r1.peers.composeHeartbeat(now, beatCall, "r2"), &heard)
		assert.Equal(t, heard.Heard, time.Duration(0))
	}
}

// TestCopyOfFormerBuild guards against what a router tells that is lost because a router of a former
// build passes it on without the fields that it doesn't know, and against a router that is taken for
// lost because only such routers pass it on.
func TestCopyOfFormerBuild(t *testing.T) {
	r1, r2 := newBeatServer(t, "r1"), newBeatServer(t, "r2")
	r2.shares.on.Store(true)
	now := time.Now()
	for range 3 {
		now = now.Add(heartbeatInterval)
		exchangeBeats(t, now, r2, r1)
	}
	hear := func(coming int) {
		var b Beat
		recode(t, formerBeat{
			From:    formerMember{Name: "r3", Address: "127.0.0.1:3", Boot: 3},
			Members: []formerMember{{Name: "r2", Address: "127.0.0.1:1", Boot: r2.peers.self.Boot, Age: time.Millisecond, Loads: map[fleet.ServiceID]Load{"archive": {Coming: coming}}}},
		}, &b)
		r1.peers.mergeHeartbeat(now, b)
	}
	now = now.Add(heartbeatInterval)
	hear(1)
	assert.Assert(t, r1.peers.known("r2").Shares)
	assert.Assert(t, slices.Contains(r1.peers.shareCandidates(now), "r2"))
	for i := range 20 {
		now = now.Add(heartbeatInterval)
		hear(i)
		assert.Assert(t, slices.ContainsFunc(r1.peers.ownerCandidates(now), func(r shard.Router) bool { return r.Name == "r2" }))
	}
	assert.Equal(t, r1.peers.known("r2").Loads["archive"].Coming, 19)
}

// TestCrashesInBeats guards against crashes that are told again and again, and against those that
// a neighbour misses because a heartbeat was lost or its former run was told.
func TestCrashesInBeats(t *testing.T) {
	r1, r2 := newBeatServer(t, "r1"), newBeatServer(t, "r2")
	now := time.Now().Add(time.Second)
	exchange := func() (call Beat) {
		now = now.Add(heartbeatInterval)
		call, _ = exchangeBeats(t, now, r1, r2)
		return call
	}
	for range 3 {
		exchange()
	}
	now = now.Add(heartbeatInterval)
	assert.Assert(t, r1.strikes.Add(now, crash.Strike{Upstream: "u", Born: 1}))
	r1.peers.composeHeartbeat(now, beatCall, "r2") // lost
	now = now.Add(2 * strikeOverlap)
	assert.Equal(t, len(exchange().Strikes), 1)
	exchange()
	now = now.Add(2 * strikeOverlap)
	exchange()
	assert.Equal(t, len(exchange().Strikes), 0, "it is told already")
	r2 = newBeatServer(t, "r2")
	exchange()
	exchange()
	assert.Equal(t, len(r2.strikes.Recent(now, maxStrikeAge)), 1)

	t.Run("blocked requests", func(t *testing.T) {
		began := now
		for born := range 3 {
			r1.strikes.Add(began, crash.Strike{Print: "print", Upstream: "u", Born: int64(born)})
		}
		r1.peers.updateOwn(now, 0)
		now = now.Add(heartbeatInterval / 2)
		b := r1.peers.composeHeartbeat(now, beatAnswer, "r2")
		assert.Equal(t, len(b.Blocks), 3)
		assert.Equal(t, b.Blocks[0].Age, heartbeatInterval/2)
	})
}
