package limit

import (
	"flag"
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

// TestMain fixes the seed of property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// play runs the steps of a script and returns the last answer. Times are in ms.
func play(l *Limiter, now *time.Time, script string) (got string) {
	for _, step := range strings.Split(script, "; ") {
		f := append(strings.Fields(step), "0", "0")
		word, boot := f[0], f[1]
		got = ""
		a, errA := strconv.Atoi(f[1])
		b, _ := strconv.Atoi(f[2])
		if errA != nil { // a boot id
			a = b
		}
		s := Sample{Latency: time.Duration(a) * time.Millisecond}
		switch word {
		case "wait":
			*now = now.Add(s.Latency)
		case "admit", "solo":
			d := l.Admit(*now, word == "solo")
			got = fmt.Sprintf("%v %s %d ", d.OK, d.Reason, d.Limit)
		case "done", "fail", "reset":
			s.Failed, s.Reset = word == "fail", word == "reset"
			l.Done(*now, s)
		case "boot", "cold":
			l.Observe(*now, LoadReport{Boot: wire.BootID(boot), Cold: word == "cold", Queued: wire.Slots(a)})
		case "chill":
			l.MarkCold(*now)
		case "doubt":
			l.DiscardReport()
		case "grow": // a admissions and completions of 10 ms, each with a report
			for range a {
				play(l, now, "admit; wait 10; done 10; boot a")
			}
		case "bounds":
			l.SetBounds(Bounds{Warm: wire.Slots(a), Cold: wire.Slots(b)})
		}
	}
	w, limit, _ := l.View(*now)
	return fmt.Sprintf("%s%s %d %d", got, w, limit, l.Held())
}

// TestScripts guards against work above the cold bound after a sign of a
// restart or without a report, a ramp faster than 1.5 times a round, work of
// others left out of the count, and company for an isolated call. Each script
// starts with bounds 12 and 2 and a report; want is the last decision (OK,
// reason, limit), the warmth, the limit and the calls held.
func TestScripts(t *testing.T) {
	const warm = "grow 40; "
	for script, want := range map[string]string{
		"admit": "true  2 cold 2 1", "admit; admit; admit": "false cold 2 cold 2 2", "grow 1": "cold 2 0",
		"grow 2": "warming 3 0", "grow 4": "warming 3 0", "grow 5": "warming 4 0", "grow 9": "warming 6 0",
		"grow 15": "warming 9 0", "grow 24": "warm 12 0", "bounds 9 1; grow 1": "warming 2 0",
		warm + "boot a": "warm 12 0", warm + "boot b": "cold 2 0", warm + "cold a": "cold 2 0", warm + "chill": "cold 2 0",
		warm + "doubt": "cold 2 0", warm + "doubt; boot a": "warm 12 0", warm + "doubt; boot b": "cold 2 0",
		warm + "admit; reset": "cold 2 0", warm + "admit; fail": "warm 12 0", warm + "admit; wait 40; done 40": "warm 12 0",
		warm + "admit; wait 41; done 41": "cold 2 0", warm + "admit; wait 90; fail 90": "cold 2 0",
		warm + "bounds 5 9": "warm 5 0", "bounds -1 -1; admit": "false cold 0 cold 0 0",
		"done 10; fail; fail": "cold 2 0", "cold a; wait 9; done 9; done 9": "cold 2 0", "wait 501; done 9; done 9; boot a": "cold 2 0",
		"wait 500; done 9; done 9": "warming 3 0", "wait 5; chill; done 6; done 6": "cold 2 0",
		"wait 20; done 5; done 10": "warming 3 0", "wait 200; done 50; done 100": "warming 3 0", "wait 200; done 50; done 101": "cold 2 0",
		"wait 20; done 5; done 11": "warming 3 0", "wait 5; done 1; done 1; wait 19; done 19": "warming 3 0", // under the floor of 20 ms
		"wait 5; done 1; done 1; wait 20; done 20": "cold 2 0",
		// A report from before a reset doesn't justify growth after it; the next one does.
		warm + "admit; wait 5; reset; wait 5; admit; admit; wait 5; done 5; done 5":         "cold 2 0",
		warm + "admit; wait 5; reset; wait 5; boot a; admit; admit; wait 5; done 5; done 5": "warming 3 0",
		warm + "boot a 2; wait 500; admit":                                                  "true  12 warm 12 3", warm + "boot a 2; wait 501; admit": "false cold 2 cold 2 2",
		warm + "wait 501; boot a 2; admit":  "true  12 warm 12 3",
		warm + "admit; boot a 12; admit":    "false busy 12 warm 12 12",
		warm + "boot a 11; admit; admit":    "false busy 12 warm 12 12",
		warm + "boot a -4":                  "warm 12 0",
		warm + "boot a 4611686018427387904": "warm 12 65536",
		warm + "admit; done 9000; wait 90; admit; done 10; done 10; wait 60; done 55; done 10":                   "cold 2 0", // one outlier hides no other
		"done 10; done 100; done 100; done 100; done 100; done 100; done 100; boot a; wait 99; done 90; done 90": "warming 3 0",
		// Calls of an earlier run neither hide work of others nor stay counted beside it.
		"bounds 9 9; wait 5; admit; admit; wait 5; boot b; wait 5; admit; wait 1; done 1; admit; wait 1; boot b 4":                           "cold 9 6",
		"bounds 9 9; wait 5; admit; admit; wait 5; boot b; wait 5; admit; wait 1; done 1; admit; wait 1; boot b 4; done 9; done 9; boot b 4": "cold 9 4",
		"admit; admit; boot b 1; reset; reset; admit; boot b 1":                                                                              "cold 2 1",
		"solo; admit": "false solo 2 cold 2 1", "solo; solo": "false solo 2 cold 2 1", "admit; solo": "false solo 2 cold 2 1",
		"boot a 1; solo": "false solo 2 cold 2 1", "solo; done 1; admit": "true  2 cold 2 1",
	} {
		t.Run(script, func(t *testing.T) {
			now := time.Unix(1_000, 0)
			assert.Equal(t, play(New(Bounds{Warm: 12, Cold: 2}), &now, "boot a; "+script), want)
		})
	}
}

// TestNeverOverCold runs random histories against a model of the upstream. It
// guards against an admission that leaves the upstream with more than the cold
// bound, queued work included, when it is cold or no report is recent.
func TestNeverOverCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Warm: wire.Slots(rapid.IntRange(1, 20).Draw(t, "warm"))}
		b.Cold = wire.Slots(rapid.IntRange(0, int(b.Warm)).Draw(t, "cold"))
		l, now := New(b), time.Unix(1_000, 0)
		var began, run []int // per own call: start in ms and run of the upstream
		ms, boot, others, report := 0, 0, 0, -1_000
		cold, solo := true, false // cold: a sign came after the last growth
		held := func() (n int) {
			for _, r := range run {
				if r == boot {
					n++
				}
			}
			return n + others
		}
		observe := func(says bool) {
			report, cold = ms, cold || says
			l.Observe(now, LoadReport{Boot: wire.BootID(fmt.Sprint(boot)), Cold: says, InFlight: wire.Slots(min(2, held())), Queued: wire.Slots(max(0, held()-2))})
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				alone := rapid.IntRange(0, 4).Draw(t, "solo") == 0
				if !l.Admit(now, alone).OK {
					return
				}
				began, run = append(began, ms), append(run, boot)
				bound := int(b.Warm)
				if cold || ms-report > 500 {
					bound = int(b.Cold)
				}
				assert.Assert(t, held() <= bound, "%d held, bounds %+v", held(), b)
				assert.Assert(t, !solo && !(alone && held() > 1), "isolated call in company")
				solo = alone
			},
			"done": func(t *rapid.T) {
				if len(run) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(run)-1).Draw(t, "call")
				s := Sample{Latency: time.Duration(ms-began[i]) * time.Millisecond, Failed: rapid.Bool().Draw(t, "failed")}
				s.Reset = run[i] != boot || rapid.IntRange(0, 5).Draw(t, "reset") == 0
				began, run = append(began[:i], began[i+1:]...), append(run[:i], run[i+1:]...)
				l.Done(now, s)
				w, _, _ := l.View(now)
				cold, solo = s.Reset || cold && w == wire.WarmthCold, solo && len(run) > 0
			},
			"wait": func(t *rapid.T) {
				n := rapid.IntRange(0, 300).Draw(t, "ms")
				ms, now = ms+n, now.Add(time.Duration(n)*time.Millisecond)
			},
			"others":  func(t *rapid.T) { others = rapid.IntRange(0, 5).Draw(t, "n"); observe(false) },
			"cold":    func(*rapid.T) { observe(true) },
			"restart": func(*rapid.T) { boot, others, cold = boot+1, 0, true; observe(false) },
			"chill":   func(*rapid.T) { l.MarkCold(now); cold = true },
			"": func(t *rapid.T) {
				assert.Assert(t, int(l.Held()) >= held(), "%d counted, %d at the upstream", l.Held(), held())
			},
		})
	})
}

// TestUnits guards against a warm upstream taken for a cold one because a call
// was cancelled after its first tokens or had a short answer, and against an
// upstream that slows down or hangs unseen. The average call has 75 units at 11 ms.
func TestUnits(t *testing.T) {
	for name, c := range map[string]struct {
		s    Sample
		warm bool
	}{
		"cancelled at the first token":  {Sample{300 * time.Millisecond, 0, true, false}, true},
		"short answer":                  {Sample{360 * time.Millisecond, 3, false, false}, true},
		"long answer":                   {Sample{4 * time.Second, 300, false, false}, true},
		"units beyond any":              {Sample{825 * time.Millisecond, math.MaxInt64, false, false}, true},
		"slow at the average length":    {Sample{4 * time.Second, 75, false, false}, false},
		"slow and cancelled":            {Sample{2500 * time.Millisecond, 20, true, false}, false},
		"no token until the deadline":   {Sample{2 * time.Second, 0, true, false}, false},
		"short and slow":                {Sample{900 * time.Millisecond, 3, false, false}, false},
		"negative units, long duration": {Sample{2 * time.Second, -1, true, false}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := New(Bounds{Warm: 4, Cold: 1}), time.Unix(1_000, 0)
			for range 40 {
				l.Observe(now, LoadReport{Boot: "a"})
				l.Admit(now, false)
				now = now.Add(825 * time.Millisecond)
				l.Observe(now, LoadReport{Boot: "a", InFlight: 1})
				l.Done(now, Sample{Latency: 825 * time.Millisecond, Units: 75})
			}
			l.Observe(now, LoadReport{Boot: "a"})
			l.Admit(now, false)
			l.Done(now, c.s)
			w, _, _ := l.View(now)
			assert.Equal(t, w == wire.WarmthWarm, c.warm, "%s", w)
		})
	}
}

func BenchmarkAdmitDone(b *testing.B) {
	l, now := New(Bounds{Warm: 64, Cold: 4}), time.Unix(1_000, 0)
	l.Observe(now, LoadReport{Boot: "a"})
	b.ReportAllocs()
	for b.Loop() {
		l.Admit(now, false)
		l.Done(now, Sample{Latency: time.Millisecond})
		l.Observe(now, LoadReport{Boot: "a", InFlight: 1})
	}
}
