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

// TestMain sets a fixed seed for property tests; -rapid.seed on the command line
// overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// runScript runs the steps of a script, separated by "; ". It returns the decision if the
// last step asked for admission, and then the warmth, the limit and the calls held.
// Times are in ms. "boot a 2" is a report with boot ID a and two queued calls, "cold" the
// same of a cold upstream; "chill" calls MarkCold and "doubt" calls DiscardReport.
func runScript(l *Limiter, now *time.Time, script string) (result string) {
	for _, step := range strings.Split(script, "; ") {
		fields := append(strings.Fields(step), "0", "0")
		verb, boot := fields[0], fields[1]
		result = ""
		a, errA := strconv.Atoi(fields[1])
		b, _ := strconv.Atoi(fields[2])
		if errA != nil { // fields[1] is a boot ID
			a = b
		}
		s := Sample{Latency: time.Duration(a) * time.Millisecond}
		switch verb {
		case "wait":
			*now = now.Add(s.Latency)
		case "admit", "solo":
			d := l.Admit(*now, verb == "solo")
			result = fmt.Sprintf("%v %s %d ", d.OK, d.Reason, d.Limit)
		case "done", "fail", "reset":
			s.Failed, s.Reset = verb == "fail", verb == "reset"
			l.Done(*now, s)
		case "boot", "cold":
			l.Observe(*now, LoadReport{Boot: wire.BootID(boot), Cold: verb == "cold", Queued: wire.Slots(a)})
		case "chill":
			l.MarkCold(*now)
		case "doubt":
			l.DiscardReport()
		case "grow": // a calls of 10 ms, each followed by a report
			for range a {
				runScript(l, now, "admit; wait 10; done 10; boot a")
			}
		case "bounds":
			l.SetBounds(Bounds{Warm: wire.Slots(a), Cold: wire.Slots(b)})
		}
	}
	w, limit, _ := l.View(*now)
	return fmt.Sprintf("%s%s %d %d", result, w, limit, l.Held())
}

// TestScripts guards against calls above the cold bound after a sign of a restart
// or without a report, growth by more than a factor of 1.5 per round, calls of
// others that aren't counted, and calls that run beside a solo call. Each script
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
		"wait 20; done 5; done 11": "warming 3 0", "wait 5; done 1; done 1; wait 19; done 19": "warming 3 0", // below minSpikeLatency of 20 ms
		"wait 5; done 1; done 1; wait 20; done 20": "cold 2 0",
		// A report from before a reset doesn't allow growth after it; the next one does.
		warm + "admit; wait 5; reset; wait 5; admit; admit; wait 5; done 5; done 5":         "cold 2 0",
		warm + "admit; wait 5; reset; wait 5; boot a; admit; admit; wait 5; done 5; done 5": "warming 3 0",
		warm + "boot a 2; wait 500; admit":                                                  "true  12 warm 12 3", warm + "boot a 2; wait 501; admit": "false cold 2 cold 2 2",
		warm + "wait 501; boot a 2; admit":  "true  12 warm 12 3",
		warm + "admit; boot a 12; admit":    "false busy 12 warm 12 12",
		warm + "boot a 11; admit; admit":    "false busy 12 warm 12 12",
		warm + "boot a -4":                  "warm 12 0",
		warm + "boot a 4611686018427387904": "warm 12 65536",
		warm + "admit; done 9000; wait 90; admit; done 10; done 10; wait 60; done 55; done 10":                   "cold 2 0", // one outlier doesn't hide the next
		"done 10; done 100; done 100; done 100; done 100; done 100; done 100; boot a; wait 99; done 90; done 90": "warming 3 0",
		// Calls sent to an earlier run neither hide calls of others nor are counted twice.
		"bounds 9 9; wait 5; admit; admit; wait 5; boot b; wait 5; admit; wait 1; done 1; admit; wait 1; boot b 4":                           "cold 9 6",
		"bounds 9 9; wait 5; admit; admit; wait 5; boot b; wait 5; admit; wait 1; done 1; admit; wait 1; boot b 4; done 9; done 9; boot b 4": "cold 9 4",
		"admit; admit; boot b 1; reset; reset; admit; boot b 1":                                                                              "cold 2 1",
		"solo; admit": "false solo 2 cold 2 1", "solo; solo": "false solo 2 cold 2 1", "admit; solo": "false solo 2 cold 2 1",
		"boot a 1; solo": "false solo 2 cold 2 1", "solo; done 1; admit": "true  2 cold 2 1",
	} {
		t.Run(script, func(t *testing.T) {
			now := time.Unix(1_000, 0)
			assert.Equal(t, runScript(New(Bounds{Warm: 12, Cold: 2}), &now, "boot a; "+script), want)
		})
	}
}

// TestNeverOverCold runs random sequences of events against a model of the upstream.
// It guards against admissions that put the upstream above the cold bound, queued
// calls included, while it is cold or there is no recent report.
func TestNeverOverCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Warm: wire.Slots(rapid.IntRange(1, 20).Draw(t, "warm"))}
		b.Cold = wire.Slots(rapid.IntRange(0, int(b.Warm)).Draw(t, "cold"))
		l, now := New(b), time.Unix(1_000, 0)
		var startTimes, runs []int // for each call of the limiter: start in ms, and the run of the upstream that it went to
		ms, boot, others, reportedAt := 0, 0, 0, -1_000
		cold, soloRunning := true, false // cold: a sign of a cold start came after the last growth
		held := func() (n int) {
			for _, r := range runs {
				if r == boot {
					n++
				}
			}
			return n + others
		}
		observe := func(saysCold bool) {
			reportedAt, cold = ms, cold || saysCold
			l.Observe(now, LoadReport{Boot: wire.BootID(fmt.Sprint(boot)), Cold: saysCold, InFlight: wire.Slots(min(2, held())), Queued: wire.Slots(max(0, held()-2))})
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				isSolo := rapid.IntRange(0, 4).Draw(t, "solo") == 0
				if !l.Admit(now, isSolo).OK {
					return
				}
				startTimes, runs = append(startTimes, ms), append(runs, boot)
				limit := int(b.Warm)
				if cold || ms-reportedAt > 500 {
					limit = int(b.Cold)
				}
				assert.Assert(t, held() <= limit, "%d held, bounds %+v", held(), b)
				assert.Assert(t, !soloRunning && !(isSolo && held() > 1), "solo call runs beside others")
				soloRunning = isSolo
			},
			"done": func(t *rapid.T) {
				if len(runs) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "call")
				s := Sample{Latency: time.Duration(ms-startTimes[i]) * time.Millisecond, Failed: rapid.Bool().Draw(t, "failed")}
				s.Reset = runs[i] != boot || rapid.IntRange(0, 5).Draw(t, "reset") == 0
				startTimes, runs = append(startTimes[:i], startTimes[i+1:]...), append(runs[:i], runs[i+1:]...)
				l.Done(now, s)
				w, _, _ := l.View(now)
				cold, soloRunning = s.Reset || cold && w == wire.WarmthCold, soloRunning && len(runs) > 0
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

// TestUnits guards against taking a warm upstream for a cold one because a call was
// cancelled after its first tokens or had a short answer, and against missing that
// an upstream slows down or hangs. The average call has 75 units of 11 ms each.
func TestUnits(t *testing.T) {
	for name, tc := range map[string]struct {
		s    Sample
		warm bool
	}{
		"cancelled at the first token":  {Sample{300 * time.Millisecond, 0, true, false}, true},
		"short answer":                  {Sample{360 * time.Millisecond, 3, false, false}, true},
		"long answer":                   {Sample{4 * time.Second, 300, false, false}, true},
		"units above the cap":           {Sample{825 * time.Millisecond, math.MaxInt64, false, false}, true},
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
			l.Done(now, tc.s)
			w, _, _ := l.View(now)
			assert.Equal(t, w == wire.WarmthWarm, tc.warm, "%s", w)
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
