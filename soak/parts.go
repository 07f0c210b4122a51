package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"hornbeamcove.example/fakes/site"
)

const (
	// badPartOneIn is the share of streams with a part that crashes engines, while there is
	// such a part: one in badPartOneIn.
	badPartOneIn = 6
	// topics is the number of parts that sound streams share beside the first one.
	topics = 12
	// contactTime is the platform's bound on the time until routers know of each other's
	// crashes.
	contactTime = 3 * time.Second
	// crashesAllowed is the number of crashes after which a part must be known, and
	// lateRunsAllowed the number of requests with it that may reach engines later than
	// contactTime after that.
	crashesAllowed  = 5
	lateRunsAllowed = 3
)

// badParts holds the prompt parts that crash engines. It is safe for concurrent use.
type badParts struct {
	mu     sync.Mutex
	last   int
	active string
}

// crashOnPart makes a prompt part crash each engine that begins to answer on it. Callers
// send it for a random time; it stays bad for the rest of the run. There is one such part
// at a time.
func crashOnPart(r *Run, rng *rand.Rand, e *event) {
	if !r.claims.claim("prompt part") {
		r.events.remove(e)
		return
	}
	defer r.claims.release("prompt part")
	r.badParts.begin()
	time.Sleep(randomDuration(rng, 7*time.Second, 11*time.Second))
	r.badParts.end()
}

// begin makes callers send a new bad part.
func (b *badParts) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	b.active = fmt.Sprint("bad-", b.last)
}

// end makes callers stop to send the bad part.
func (b *badParts) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = ""
}

// draw returns the bad part, if there is one, for one stream in badPartOneIn, or "".
func (b *badParts) draw(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rng.IntN(badPartOneIn) > 0 {
		return ""
	}
	return b.active
}

// in reports whether a prompt has a bad part, also one that is no longer sent.
func (b *badParts) in(parts string) bool { return strings.Contains(parts, "bad-") }

// promptParts returns the parts of a prompt: one that all streams share, the bad one if it
// is not empty, a topic, and the request's own.
func promptParts(id, bad string, rng *rand.Rand) string {
	parts := []string{"first:100"}
	if bad != "" {
		parts = append(parts, bad+":50")
	}
	parts = append(parts, fmt.Sprintf("topic-%d:50", rng.IntN(topics)), id+":10")
	return strings.Join(parts, ",")
}

// checkBadParts checks that routers stop sending requests with a part that crashes engines.
// Requests of routers that were stopped, killed or paused within contactTime before don't
// count.
func (c *checker) checkBadParts(recordsByID map[string]*requestRecord) {
	runsByPart := map[string][]site.Run{}
	for id, runs := range c.runs {
		if rec := recordsByID[id]; rec != nil && rec.badPart != "" {
			runsByPart[rec.badPart] = append(runsByPart[rec.badPart], runs...)
		}
	}
	for part, runs := range runsByPart {
		slices.SortFunc(runs, func(a, b site.Run) int { return a.Began.Compare(b.Began) })
		crashes := 0
		var knownBy time.Time
		var late []string
		for _, run := range runs {
			if crashes >= crashesAllowed && run.Began.After(knownBy) &&
				!c.r.events.restarted(recordsByID[run.ID].router, run.Began.Add(-contactTime), run.Began) {
				late = append(late, run.ID)
			}
			if run.Executed {
				if crashes++; crashes == crashesAllowed {
					knownBy = run.Ended.Add(contactTime)
				}
			}
		}
		if len(late) > lateRunsAllowed {
			c.fail("crashing part", "%d requests with %s reached engines after it had crashed %d, %v of %d in all", len(late), part, crashesAllowed, late[:lateRunsAllowed+1], len(runs))
		}
	}
}
