package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

const (
	// restartTime is the time from a crash until an engine runs streams again.
	restartTime = 1530 * time.Millisecond
	// badOneIn is the share of streams with the bad part: one in badOneIn.
	badOneIn = 6
	topics   = 12
)

// outages plays streams at engines that crash at the same moments, again and again, since
// they all start again together. The streams share a first part, and each has a topic.
type outages struct {
	rng              *rand.Rand
	engines, streams int
	withBad          bool // engines crash on the bad part; otherwise all are lost
	routers          []*Parts
	now              time.Time
	crashes          []time.Time // of engines that ran the bad part
}

func newOutages(seed uint64, engines, streams int, withBad bool) *outages {
	o := &outages{rng: rand.New(rand.NewPCG(seed, 1)), engines: engines, streams: streams, withBad: withBad, routers: []*Parts{{}, {}, {}}, now: start}
	for _, p := range soundParts() {
		o.routers[0].Survived(o.now, o.now, testService, []Part{p})
		for _, r := range o.routers {
			r.Progressed(o.now, []Part{p})
		}
	}
	o.now = o.now.Add(time.Second)
	return o
}

// soundParts returns the first part and the topics.
func soundParts() []Part {
	parts := []Part{testPart("first")}
	for i := range topics {
		parts = append(parts, testPart(fmt.Sprint("topic-", i)))
	}
	return parts
}

// play sends the streams of the n-th moment and crashes engines. It returns the number of
// streams with the bad part that reached an engine.
func (o *outages) play(n int) (reached int) {
	type stream struct {
		router *Parts
		parts  []Part
	}
	streams := make([][]stream, o.engines)
	ranBad := make([]bool, o.engines)
	sound := soundParts()
	for i := range o.streams {
		parts := []Part{sound[0], sound[1+o.rng.IntN(topics)], testPart(fmt.Sprint("own-", n, "-", i))}
		bad := o.withBad && o.rng.IntN(badOneIn) == 0
		if bad {
			parts = append(parts, testPart("bad"))
		}
		r := o.routers[o.rng.IntN(len(o.routers))]
		r.Arrived(o.now, "route", parts)
		if r.Quarantined(o.now, parts) {
			continue
		}
		e := o.rng.IntN(o.engines)
		streams[e] = append(streams[e], stream{r, parts})
		if bad {
			reached++
			ranBad[e] = true
		}
	}
	for e := range streams {
		if o.withBad && !ranBad[e] {
			continue
		}
		at := o.now.Add(time.Duration(o.rng.IntN(20)) * time.Millisecond)
		if ranBad[e] {
			o.crashes = append(o.crashes, at)
		}
		for _, s := range streams[e] {
			s.router.Crashed(at, wire.UpstreamID(fmt.Sprint(e)), int64(n), s.parts)
		}
	}
	// Streams of the service that share no part with these go on.
	o.routers[0].Survived(o.now.Add(100*time.Millisecond), o.now.Add(100*time.Millisecond), testService, nil)
	for range 2 {
		for _, from := range o.routers {
			for _, to := range o.routers {
				if from != to {
					to.Merge(o.now.Add(155*time.Millisecond), from.Report(o.now.Add(150*time.Millisecond)))
				}
			}
		}
	}
	o.now = o.now.Add(restartTime)
	return reached
}

// refused returns how many routers refuse each of the parts.
func (o *outages) refused(parts []Part) map[Part]int {
	refused := map[Part]int{}
	for _, r := range o.routers {
		for _, p := range parts {
			if r.Quarantined(o.now, []Part{p}) {
				refused[p]++
			}
		}
	}
	return refused
}

// TestPartsOutages guards against a bad part that goes on crashing all engines at once, and
// against sound parts that are refused because they ran beside it or were lost with them.
func TestPartsOutages(t *testing.T) {
	for _, c := range []struct {
		name             string
		engines, streams int
	}{{"5 engines", 5, 36}, {"10 engines", 10, 36}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				o := newOutages(seed, c.engines, c.streams, true)
				for n := range partCrashLimit + 2 {
					o.play(n)
					assert.Equal(t, len(o.refused(soundParts())), 0, "seed %d: %v", seed, o.refused(soundParts()))
				}
				bad := testPart("bad")
				assert.Equal(t, o.refused([]Part{bad})[bad], len(o.routers), "seed %d", seed)

				o = newOutages(seed, c.engines, c.streams, false)
				for n := range partCrashLimit - 1 {
					o.play(n)
					assert.Equal(t, len(o.refused(soundParts())), 0, "seed %d, no bad part: %v", seed, o.refused(soundParts()))
				}
			}
		})
	}
}
