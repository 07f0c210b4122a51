package crash

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

// A fixed seed makes every run check the same cases; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

const (
	suspect     = wire.MarkStateSuspect
	quarantined = wire.MarkStateQuarantined
	cleared     = wire.MarkStateCleared
)

// TestFingerprint guards against equal fingerprints for different requests or teams, and
// against fingerprints that exceed the wire format.
func TestFingerprint(t *testing.T) {
	seen := map[wire.Fingerprint]string{}
	for _, c := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"a", "", "bc"}, {"b", "b", "c"}, {"a", "b", "d"}} {
		p := Fingerprint(wire.TeamID(c[0]), wire.PipelineID(c[1]), []byte(c[2]))
		assert.Equal(t, len(p), 32)
		assert.Equal(t, seen[p], "", "%v", c)
		seen[p] = fmt.Sprint(c)
	}
	assert.Equal(t, Fingerprint("a", "b", []byte("c")), Fingerprint("a", "b", []byte("c")))
	assert.Equal(t, Fingerprint("a", "b", nil)[:16], Fingerprint("a", "x", []byte("c"))[:16], "part of the team")
	assert.Assert(t, Fingerprint("a", "b", nil)[:16] != Fingerprint("b", "b", nil)[:16], "part of the team")
}

// TestStates guards against running a request that crashes upstreams again, and against
// refusing one that has not crashed an upstream in isolation.
func TestStates(t *testing.T) {
	crash := func(isolated bool) func(*Registry, time.Time) {
		return func(b *Registry, now time.Time) { b.RecordCrash(now, "p", "a", "pl", isolated) }
	}
	survive := func(b *Registry, now time.Time) { b.RecordSurvival(now, "p") }
	wait := func(*Registry, time.Time) {}
	for name, c := range map[string]struct {
		steps []func(*Registry, time.Time) // 6 minutes apart
		want  []wire.MarkState
	}{
		"with others":         {[]func(*Registry, time.Time){crash(false), wait, wait}, []wire.MarkState{suspect, suspect, ""}},
		"again with others":   {[]func(*Registry, time.Time){crash(false), crash(false), wait}, []wire.MarkState{suspect, suspect, suspect}},
		"alone":               {[]func(*Registry, time.Time){crash(false), crash(true), wait, wait}, []wire.MarkState{suspect, quarantined, quarantined, ""}},
		"late report":         {[]func(*Registry, time.Time){crash(true), crash(false), wait}, []wire.MarkState{quarantined, quarantined, ""}},
		"completed alone":     {[]func(*Registry, time.Time){crash(false), survive, wait}, []wire.MarkState{suspect, cleared, cleared}},
		"crash after that":    {[]func(*Registry, time.Time){crash(false), survive, crash(false)}, []wire.MarkState{suspect, cleared, suspect}},
		"late completion":     {[]func(*Registry, time.Time){crash(true), survive, wait}, []wire.MarkState{quarantined, quarantined, ""}},
		"unknown completion":  {[]func(*Registry, time.Time){survive}, []wire.MarkState{""}},
		"expired quarantine":  {[]func(*Registry, time.Time){crash(true), wait, crash(false)}, []wire.MarkState{quarantined, quarantined, suspect}},
		"quarantined at once": {[]func(*Registry, time.Time){crash(true)}, []wire.MarkState{quarantined}},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewRegistry(0)
			for i, step := range c.steps {
				now := start.Add(time.Duration(i) * 6 * time.Minute)
				step(b, now)
				assert.Equal(t, b.State(now, "p"), c.want[i], "step %d", i)
				assert.Equal(t, len(b.Marks(now)) > 0, c.want[i] != "", "step %d", i)
			}
		})
	}
}

// TestTeamIsolation guards against a team whose crashes quarantine another team's requests.
func TestTeamIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, peer := NewRegistry(0), NewRegistry(0)
		name := rapid.SampledFrom([]string{"a", "b", "ab", "ba"})
		body := rapid.SliceOfN(rapid.Byte(), 0, 4)
		crashed := map[wire.Fingerprint]string{}
		for range rapid.IntRange(0, 20).Draw(t, "crashes") {
			team, pl, body := name.Draw(t, "team"), name.Draw(t, "pipeline"), body.Draw(t, "body")
			p := Fingerprint(wire.TeamID(team), wire.PipelineID(pl), body)
			crashed[p] = fmt.Sprintf("%s/%s/%x", team, pl, body)
			if b.RecordCrash(start, p, wire.TeamID(team), wire.PipelineID(pl), true) != quarantined {
				t.Fatal("not quarantined")
			}
		}
		peer.Merge(start, b.Marks(start))
		for range 20 {
			team, pl, body := name.Draw(t, "team"), name.Draw(t, "pipeline"), body.Draw(t, "body")
			p := Fingerprint(wire.TeamID(team), wire.PipelineID(pl), body)
			own := crashed[p] == fmt.Sprintf("%s/%s/%x", team, pl, body)
			if got := peer.State(start, p); (got == quarantined) != own || !own && crashed[p] != "" {
				t.Fatalf("%s/%s/%x: %q, crashed %q", team, pl, body, got, crashed[p])
			}
		}
	})
}

// TestMerge guards against routers that disagree on marks because they received gossip
// messages in a different order or repeatedly.
func TestMerge(t *testing.T) {
	marks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.Mark {
		return wire.Mark{
			Print:    wire.Fingerprint(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "print")),
			Team:     wire.TeamID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")),
			Pipeline: wire.PipelineID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pipeline")),
			State:    rapid.SampledFrom([]wire.MarkState{suspect, quarantined, cleared, "other"}).Draw(t, "state"),
			Left:     wire.Millis(rapid.IntRange(0, 2).Draw(t, "left") * 400_000),
		}
	}), 0, 10)
	rapid.Check(t, func(t *rapid.T) {
		x, y := marks.Draw(t, "x"), marks.Draw(t, "y")
		ab, ba := NewRegistry(0), NewRegistry(0)
		ab.Merge(start, x)
		ab.Merge(start, y)
		ba.Merge(start, y)
		ba.Merge(start, x)
		want := ab.Marks(start)
		if !slices.Equal(want, ba.Marks(start)) {
			t.Fatalf("order matters: %v, %v", want, ba.Marks(start))
		}
		ab.Merge(start, x)
		ab.Merge(start, want)
		if !slices.Equal(want, ab.Marks(start)) {
			t.Fatalf("repetition matters: %v, %v", want, ab.Marks(start))
		}
		for _, m := range want {
			if m.Check() != nil || m.Left > 600_000 {
				t.Fatalf("mark %v", m)
			}
		}
	})
}

// TestMergeLatest guards against old gossip that overwrites a later event.
func TestMergeLatest(t *testing.T) {
	a, b := NewRegistry(0), NewRegistry(0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	gossip := func(s int, want wire.MarkState) {
		a.Merge(at(s), b.Marks(at(s)))
		assert.Equal(t, a.State(at(s), "p"), want)
	}
	a.RecordCrash(start, "p", "t", "pl", false)
	old := a.Marks(start)
	b.Merge(start, old)
	b.RecordSurvival(at(1), "p")
	gossip(2, cleared)
	a.RecordCrash(at(3), "p", "t", "pl", false)
	gossip(4, suspect)
	b.RecordCrash(at(4), "p", "t", "pl", true)
	a.RecordCrash(at(5), "p", "t", "pl", false)
	gossip(5, quarantined)
	a.Merge(at(3600), old)
	assert.Equal(t, a.State(at(3600), "p"), suspect, "an expired quarantine must not block a new mark")
	ms := []wire.Mark{{Print: "q", State: cleared, Left: 9}, {Print: "q", State: suspect, Left: 9}, {Print: "q", State: cleared, Left: 9}}
	for _, ms := range [][]wire.Mark{ms[:2], ms[1:]} {
		b = NewRegistry(0)
		b.Merge(start, ms)
		assert.Equal(t, b.State(start, "q"), suspect, "same expiry")
	}
}

// TestLimit guards against a registry that grows without limit and against evicting a
// quarantine.
func TestLimit(t *testing.T) {
	b := NewRegistry(3)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	states := func(s int, ps ...wire.Fingerprint) (all string) {
		for _, p := range ps {
			all += (string(b.State(at(s), p)) + "-")[:1]
		}
		return all
	}
	b.RecordCrash(at(0), "a", "t", "pl", true)
	b.RecordCrash(at(1), "b", "t", "pl", false)
	b.RecordCrash(at(2), "c", "t", "pl", false)
	b.RecordSurvival(at(3), "c")
	b.RecordCrash(at(4), "d", "t", "pl", false)
	assert.Equal(t, states(4, "a", "b", "c", "d"), "qs-s")
	b.RecordCrash(at(5), "e", "t", "pl", false)
	assert.Equal(t, states(5, "a", "b", "d", "e"), "q-ss")
	for i, m := range b.Marks(at(5)) { // quarantine first, then the latest suspect
		assert.Equal(t, m.Print, wire.Fingerprint("aed"[i:][:1]))
	}
	b.RecordCrash(at(6), "d", "t", "pl", true)
	b.RecordCrash(at(6), "e", "t", "pl", true)
	assert.Equal(t, b.RecordCrash(at(7), "f", "t", "pl", true), wire.MarkState(""))
	assert.Equal(t, states(7, "a", "d", "e", "f"), "qqq-")
	b.RecordCrash(at(601), "f", "t", "pl", false)
	assert.Equal(t, states(601, "a", "d", "e", "f"), "-qqs")
	b.RecordCrash(at(607), "g", "t", "pl", false) // replaces expired marks
	assert.Equal(t, states(607, "d", "e", "f", "g"), "--ss")
}

// TestClaim guards against concurrent isolated runs of one request, against claims that
// outlive their run, and against claims without limit.
func TestClaim(t *testing.T) {
	b := NewRegistry(2)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	assert.Assert(t, b.Claim(at(0), "p", at(3)))
	assert.Assert(t, !b.Claim(at(2), "p", at(5)), "claimed")
	assert.Assert(t, b.Claim(at(2), "q", at(9)), "another request")
	assert.Assert(t, !b.Claim(at(2), "r", at(9)), "bound")
	assert.Assert(t, b.Claim(at(3), "p", at(6)), "past its deadline")
	b.Release("p", at(3))
	assert.Assert(t, !b.Claim(at(4), "p", at(7)), "released by the previous run")
	b.Release("p", at(6))
	assert.Assert(t, b.Claim(at(4), "p", at(7)), "released")
	assert.Assert(t, b.Claim(at(8), "r", at(9)), "expired claims are evicted")
	b.RecordCrash(at(9), "q", "t", "pl", true)
	assert.Assert(t, !b.Claim(at(10), "q", at(12)), "quarantined")
}

func BenchmarkState(b *testing.B) {
	registry := NewRegistry(0)
	body := make([]byte, 4096)
	registry.RecordCrash(start, Fingerprint("a", "b", body), "a", "b", true)
	for b.Loop() {
		registry.State(start, Fingerprint("a", "b", body))
	}
}
