package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const testService = fleet.ServiceID("engine")

func testPart(print string) Part { return Part{testService, wire.Fingerprint(print)} }

// after returns the time that is ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestParts guards against a part that crashes one upstream after another, and against a
// quarantine of sound parts.
func TestParts(t *testing.T) {
	bad, sound := testPart("bad"), testPart("sound")
	alike := testPart("alike") // before "bad" in the order of prints
	crash := func(ms, upstream int, parts ...Part) func(*Parts) {
		return func(p *Parts) { p.Crashed(after(ms), wire.UpstreamID(fmt.Sprint(upstream)), 1, parts) }
	}
	crashOf := func(ms int, born int64) func(*Parts) {
		return func(p *Parts) { p.Crashed(after(ms), "1", born, []Part{bad}) }
	}
	survive := func(ms int, parts ...Part) func(*Parts) {
		return func(p *Parts) { p.Survived(after(ms), after(ms), testService, parts) }
	}
	progress := func(ms int, parts ...Part) func(*Parts) {
		return func(p *Parts) { p.Progressed(after(ms), parts) }
	}
	for _, c := range []struct {
		name          string
		steps         []func(*Parts)
		at            int // milliseconds
		badOK, goodOK bool
	}{
		{"two crashes", []func(*Parts){crash(0, 1, bad), crash(900, 2, bad), survive(950)}, 1000, true, true},
		{"three crashes", []func(*Parts){crash(0, 1, bad), crash(900, 2, bad), crash(1300, 3, bad), survive(1310)}, 1400, false, true},
		{"survivals of another part", []func(*Parts){
			crash(0, 1, bad, sound), survive(500, sound), crash(900, 2, bad, sound), crash(1300, 3, bad, sound), survive(1310, sound),
		}, 1400, false, true},
		{"survival in between", []func(*Parts){crash(0, 1, bad), crash(900, 2, bad), survive(1000, bad), crash(1300, 3, bad), survive(1310)}, 1400, true, true},
		{"survival that began earlier", []func(*Parts){
			crash(0, 1, bad), crash(900, 2, bad), crash(1300, 3, bad),
			func(p *Parts) { p.Survived(after(1400), after(-5), testService, []Part{bad}) }, survive(1310),
		}, 1400, false, true},
		{"survival at last", []func(*Parts){crash(0, 1, bad), crash(900, 2, bad), crash(1300, 3, bad), survive(1310), survive(1350, bad)}, 1400, true, true},
		{"several upstreams at the same time", []func(*Parts){crash(0, 1, bad), crash(10, 2, bad), crash(20, 3, bad), crash(30, 4, bad), survive(100)}, 200, true, true},
		{"several reports of one crash", []func(*Parts){crash(0, 1, bad), crash(300, 1, bad), crash(900, 1, bad), survive(950)}, 1000, true, true},
		{"one upstream three times", []func(*Parts){crash(0, 1, bad), crash(4000, 1, bad), crash(8000, 1, bad), survive(8100)}, 8200, false, true},
		{"one upstream that starts again fast", []func(*Parts){crashOf(0, 1), crashOf(300, 2), crashOf(600, 3), survive(700)}, 800, false, true},
		{"no request of the service survives any more", []func(*Parts){
			survive(-100, sound), crash(0, 1, sound), crash(900, 2, sound), crash(1300, 3, sound), crash(1700, 4, sound),
		}, 2000, true, true},
		{"another request of the service survives again", []func(*Parts){
			survive(-100, sound), crash(0, 1, sound), crash(900, 2, sound), crash(1300, 3, sound), crash(1700, 4, sound), survive(1800),
		}, 2000, true, false},
		{"no request of the service survives the part", []func(*Parts){survive(-100, sound), crash(0, 1, bad), crash(900, 2, bad), crash(1300, 3, bad)}, 2000, false, true},
		{"quarantined for ten minutes", []func(*Parts){crash(0, 1, bad), crash(900, 2, bad), crash(1300, 3, bad), survive(1310)}, 599_000, false, true},
		{"not for longer", []func(*Parts){crash(0, 1, bad), crash(900, 2, bad), crash(1300, 3, bad), survive(1310)}, 602_000, true, true},
		{"suspected for two minutes", []func(*Parts){crash(0, 1, bad), crash(900, 2, bad), crash(122_000, 3, bad), survive(122_100)}, 122_200, true, true},
		{"two bad parts", []func(*Parts){
			crash(0, 1, bad), crash(400, 2, sound), crash(900, 3, bad), crash(1300, 4, sound), crash(1800, 5, bad), crash(2200, 6, sound), survive(2300),
		}, 2400, false, false},
		{"part beside several bad ones", []func(*Parts){
			crash(0, 1, sound, testPart("bad1")), crash(500, 2, sound, bad), crash(1000, 3, bad), crash(1500, 4, sound, testPart("bad2")), crash(2000, 5, bad), survive(2100),
		}, 2200, false, true},
		{"part beside one that crashes many upstreams", []func(*Parts){
			crash(0, 1, bad), crash(300, 2, bad, sound), crash(600, 3, bad, sound), crash(900, 4, bad, sound), crash(1200, 5, bad), crash(1500, 6, bad),
			crash(1800, 7, bad), crash(2100, 8, bad), crash(2400, 9, bad), crash(2700, 10, bad), crash(3000, 11, bad), crash(3300, 12, bad), survive(3400),
		}, 3500, false, true},
		{"part beside one that crashes several upstreams at a time", []func(*Parts){
			crash(0, 1, bad, alike), crash(10, 2, bad), crash(300, 3, bad, alike), crash(600, 4, bad, alike), survive(700),
			func(p *Parts) { assert.Assert(t, !p.Quarantined(after(700), []Part{alike})) },
		}, 700, false, true},
		{"part of all requests while none survives", []func(*Parts){
			crash(0, 1, bad, sound), progress(400, sound), crash(500, 2, sound), crash(900, 3, bad, sound), crash(1200, 4, bad, sound), crash(1600, 5, bad, sound),
		}, 1700, false, true},
		{"part of all requests whose answers went on", []func(*Parts){
			crash(0, 1, bad, sound), progress(400, sound), crash(500, 2, bad, sound), crash(900, 3, bad, sound), crash(1200, 4, bad, sound), survive(1600),
		}, 1700, false, true},
		{"part of all requests that meet a crash", []func(*Parts){
			crash(0, 1, sound), crash(0, 1, bad, sound), crash(0, 1, sound), crash(300, 2, sound), crash(310, 2, sound), crash(900, 3, bad, sound), crash(900, 3, sound),
			crash(1200, 4, bad, sound), crash(1200, 4, sound), crash(1210, 4, sound),
		}, 1300, false, true},
		{"part beside another one in each crash", []func(*Parts){
			survive(-100, sound), crash(0, 1, bad, sound), crash(900, 2, bad, sound), crash(1300, 3, bad, sound), survive(1310),
		}, 1400, false, true},
		{"part with more crashes than the other", []func(*Parts){
			crash(0, 1, bad, sound), crash(900, 2, bad, sound), crash(1300, 3, bad, sound), crash(1700, 4, bad), survive(1710),
		}, 1800, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := new(Parts)
			for _, step := range c.steps {
				step(p)
			}
			assert.Equal(t, p.Quarantined(after(c.at), []Part{sound, bad}), !c.badOK || !c.goodOK)
			assert.Equal(t, p.Quarantined(after(c.at), []Part{bad}), !c.badOK, "bad")
			assert.Equal(t, p.Quarantined(after(c.at), []Part{sound}), !c.goodOK, "sound")
			assert.Assert(t, !p.Quarantined(after(c.at), []Part{{"other", bad.Print}}), "another service")
		})
	}
}

// TestPartsCommon guards against refusing all requests of a route because of the part that
// they have in common, and against sparing a bad part because it is asked for often.
func TestPartsCommon(t *testing.T) {
	first, bad := testPart("a first"), testPart("bad")
	p := new(Parts)
	for i := range 3 {
		p.Crashed(after(500*i), wire.UpstreamID(fmt.Sprint(i)), 1, []Part{first})
	}
	assert.Assert(t, p.Quarantined(after(1500), []Part{first}), "no requests yet")
	p.Survived(after(1600), after(1600), testService, []Part{first})
	for i := range minCommonRequests {
		p.Crashed(after(2000+500*i), wire.UpstreamID(fmt.Sprint(i)), 2, []Part{first})
		p.Arrived(after(2000+500*i), "other", nil)
		p.Arrived(after(2000+500*i), "route", []Part{first})
	}
	p.Survived(after(7000), after(7000), testService, nil)
	assert.Assert(t, !p.Quarantined(after(7000), []Part{first}))
	for i := range 3 {
		p.Crashed(after(7500+500*i), wire.UpstreamID(fmt.Sprint(i)), 3, []Part{first, bad})
		for range 5 {
			p.Arrived(after(7500+500*i), "route", []Part{first, bad})
		}
		p.Arrived(after(7500+500*i), "route", []Part{first})
	}
	p.Survived(after(9000), after(9000), testService, nil)
	assert.Assert(t, p.Quarantined(after(9000), []Part{first, bad}))
	assert.Assert(t, !p.Quarantined(after(9000), []Part{first}))
	for range 1000 { // callers that repeat what is refused
		p.Arrived(after(9000), "route", []Part{first, bad})
	}
	assert.Assert(t, p.Quarantined(after(9000), []Part{bad}))
}

// TestPartsGossip guards against routers that don't learn of a part, that start after the
// crashes, or that go on refusing a part that has survived elsewhere.
func TestPartsGossip(t *testing.T) {
	bad := []Part{testPart("bad")}
	routers := []*Parts{{}, {}, {}}
	gossip := func(ms int) {
		for _, from := range routers {
			for _, to := range routers {
				if from != to {
					to.Merge(after(ms+20), from.Report(after(ms)))
				}
			}
		}
	}
	for i, r := range routers {
		r.Crashed(after(1000*i), wire.UpstreamID(fmt.Sprint(i)), 1, bad)
		gossip(1000*i + 100)
	}
	routers[1].Survived(after(2600), after(2600), testService, nil)
	gossip(2700)
	quarantined := func(ms int, want bool) {
		t.Helper()
		for i, r := range routers {
			assert.Equal(t, r.Quarantined(after(ms), bad), want, "router %d", i)
		}
	}
	quarantined(2800, true)

	routers[0] = new(Parts) // restarted
	gossip(300_000)
	quarantined(300_100, true)

	before := fmt.Sprint(routers[2].Report(after(300_200)))
	for range 5 {
		gossip(300_200)
	}
	assert.Equal(t, fmt.Sprint(routers[2].Report(after(300_200))), before, "repeated reports change nothing")

	routers[2].Survived(after(310_000), after(310_000), testService, bad)
	cut := routers[0]
	routers = routers[1:]
	gossip(310_100)
	quarantined(310_200, false)
	routers = append(routers, cut) // back after the survival is no longer reported
	gossip(320_000)
	gossip(320_200)
	quarantined(320_300, false)
	assert.Equal(t, len(routers[0].Report(after(324_000)).Cleared), 0)
}

// TestPartsTrial guards against sound parts that stay quarantined, and against trials that
// crash more than a few upstreams.
func TestPartsTrial(t *testing.T) {
	bad, sound := testPart("bad"), testPart("sound")
	owned, others := func(Part) bool { return true }, func(Part) bool { return false }
	p := new(Parts)
	for i := range 3 {
		p.Crashed(after(500*i), wire.UpstreamID(fmt.Sprint(i)), 1, []Part{bad})
		p.Crashed(after(500*i+100), wire.UpstreamID(fmt.Sprint(i+3)), 1, []Part{sound})
	}
	assert.Assert(t, !p.Trial(after(30_000), []Part{bad}, owned), "too early")
	assert.Assert(t, !p.Trial(after(32_000), []Part{bad}, others), "another router's")
	assert.Assert(t, !p.Trial(after(32_000), []Part{bad, sound}, owned), "two quarantined parts")
	assert.Assert(t, !p.Trial(after(32_000), []Part{testPart("other")}, owned), "not quarantined")
	assert.Assert(t, p.Trial(after(32_000), []Part{bad, testPart("other")}, owned))
	assert.Assert(t, !p.Trial(after(32_100), []Part{bad}, owned), "while the first is running")
	assert.Assert(t, p.Trial(after(32_000), []Part{sound}, owned))
	p.Survived(after(33_000), after(32_500), testService, []Part{sound})
	assert.Assert(t, !p.Quarantined(after(33_000), []Part{sound}))

	crashes := 3
	for ms := 33_000; ms < 900_000; ms += 100 {
		if p.Trial(after(ms), []Part{bad}, owned) {
			crashes++
			p.Crashed(after(ms+50), wire.UpstreamID(fmt.Sprint(crashes)), 1, []Part{bad})
		}
		assert.Assert(t, p.Quarantined(after(ms+50), []Part{bad}), "%d ms", ms)
	}
	assert.Assert(t, crashes <= 5+3, "%d crashes", crashes)
}

// TestPartsBounds guards against tables and reports that grow with the number of parts, and
// against a part that is forgotten because of them.
func TestPartsBounds(t *testing.T) {
	p := new(Parts)
	bad := testPart("bad")
	for i := range 3 {
		p.Crashed(after(500*i), wire.UpstreamID(fmt.Sprint(i)), 1, []Part{bad})
	}
	p.Survived(after(1100), after(1100), testService, nil)
	for i := range maxParts + 10 {
		p.Crashed(after(1200+i), wire.UpstreamID(fmt.Sprint("u", i)), 1, []Part{testPart(fmt.Sprint("x", i))})
	}
	now := after(1200 + maxParts + 20)
	assert.Equal(t, len(p.Counts(now)), maxParts)
	r := p.Report(now)
	assert.Equal(t, len(r.Crashes), 3+maxReportedParts-1)
	assert.Equal(t, r.Crashes[0].Part, bad)
	for i := range 20 {
		p.Crashed(after(6000+2000*i), "u", int64(i+1), []Part{bad})
	}
	assert.Equal(t, len(p.suspects[bad].crashes), maxPartCrashes)
	assert.Assert(t, p.Quarantined(after(46_000), []Part{bad}))
}

// TestPartsMerge guards against reports with bad values, and against a quarantine that is
// lost on the way to a router that starts.
func TestPartsMerge(t *testing.T) {
	parts := rapid.SampledFrom([]Part{testPart(""), testPart("p"), testPart("q")})
	ages := rapid.SampledFrom([]time.Duration{-1 << 63, -time.Second, 0, time.Second, 9 * time.Second, time.Minute, time.Hour, 1<<63 - 1})
	upstreams := rapid.SampledFrom([]wire.UpstreamID{"", "1", "2", "3"})
	rapid.Check(t, func(t *rapid.T) {
		p := new(Parts)
		for range rapid.IntRange(0, 10).Draw(t, "reports") {
			var r PartsReport
			for range rapid.IntRange(0, 6).Draw(t, "crashes") {
				r.Crashes = append(r.Crashes, PartCrash{parts.Draw(t, "part"), upstreams.Draw(t, "upstream"), rapid.Int64Range(0, 1).Draw(t, "born"), rapid.IntRange(-1, 3).Draw(t, "requests"), ages.Draw(t, "age")})
			}
			for range rapid.IntRange(0, 2).Draw(t, "cleared") {
				r.Cleared = append(r.Cleared, PartSurvival{parts.Draw(t, "part"), ages.Draw(t, "age")})
			}
			r.Survivals = map[fleet.ServiceID]time.Duration{testService: ages.Draw(t, "age")}
			p.Merge(start, r)
		}
		for part, s := range p.cleared {
			if s.began.After(start) {
				t.Fatalf("%v survived in the future", part)
			}
		}
		p.Survived(start, start, testService, nil)
		started := new(Parts)
		started.Merge(start, p.Report(start))
		for part := range p.Counts(start) {
			want := p.Quarantined(start, []Part{part})
			if got := started.Quarantined(start, []Part{part}); got != want {
				t.Fatalf("%v crashed %v: quarantined %v, and %v at the router that started", part, p.suspects[part].crashes, want, got)
			}
			if n := countApart(p.suspects[part].crashes); want && n < partCrashLimit {
				t.Fatalf("%v is quarantined after %d crashes", part, n)
			}
		}
	})
}
