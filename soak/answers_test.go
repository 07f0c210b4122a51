package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// TestEndlessAnswers guards against a router that runs out of memory, or takes it from the requests
// of other callers, because all replicas of a service send bytes without end.
func TestEndlessAnswers(t *testing.T) {
	program, err := Build(t.TempDir())
	assert.NilError(t, err)
	for _, tc := range []struct {
		name, service string
		kinds         []requestKind
		act           site.Action
	}{
		{"bodies", "desk", requestKinds[:1], site.Endless},
		{"heads", "desk", requestKinds[:1], site.EndlessHead},
		{"refusals", "desk", requestKinds[:1], site.EndlessRefusal},
		{"events", "engine", requestKinds[2:4], site.Endless},
		{"fields of heads", "desk", requestKinds[:1], site.EndlessFields},
		{"stalled heads", "desk", requestKinds[:1], site.StalledHead},
		{"stage results", "archive", []requestKind{draftKind}, site.Endless},
		{"heads of stage answers", "archive", []requestKind{draftKind}, site.EndlessHead},
		{"fields of heads of stage answers", "archive", []requestKind{draftKind}, site.EndlessFields},
		{"stalled heads of stage answers", "archive", []requestKind{draftKind}, site.StalledHead},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &Run{Options: Options{Seed: 1, Routers: 1, Dir: t.TempDir(), Program: program}}
			t.Cleanup(r.close)
			assert.NilError(t, r.prepare())
			for _, rp := range r.allReplicas() {
				if rp.Service == tc.service {
					rp.action.Store(int32(tc.act))
					rp.actionPercent.Store(100)
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*requestTimeout)
			defer cancel()
			var wg conc.WaitGroup
			var memory map[string]int
			wg.Go(func() { memory = r.watchMemory(ctx) })
			others := &callers{run: r}
			wg.Go(func() {
				defer cancel()
				// Other requests have requestTimeout, more than the four seconds.
				for time.Sleep(4 * time.Second); ctx.Err() == nil && others.served() == 0; time.Sleep(100 * time.Millisecond) {
				}
			})
			for i := range 300 {
				wg.Go(func() { r.callers.runCaller(ctx, uint64(i), tc.kinds...) })
			}
			other := requestKinds[:1]
			if tc.service == "desk" {
				other = requestKinds[2:3]
			}
			for i := range 4 {
				wg.Go(func() { others.runCaller(ctx, rand.Uint64N(1000)+uint64(i), other...) })
			}
			wg.Wait()
			t.Logf("%d MB, %d requests, %d other requests", memory["r0"], len(r.callers.records), len(others.records))
			assert.Assert(t, memory["r0"] > 0 && memory["r0"] <= memoryMB, "%d MB of memory", memory["r0"])
			for _, rec := range r.callers.records {
				assert.Assert(t, rec.status != 200 || rec.err != nil, "%s was answered %q", rec.id, truncate(rec.answer))
			}
			assert.Assert(t, others.served() > 0, "none of %d other requests was served", len(others.records))
		})
	}
}

// TestStalledCallers guards against a router that runs out of memory because callers send large heads
// and don't end them.
func TestStalledCallers(t *testing.T) {
	program, err := Build(t.TempDir())
	assert.NilError(t, err)
	var fields strings.Builder
	for i := 0; fields.Len() < 60<<10; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	for name, head := range map[string]string{"fields": fields.String(), "one field": "A: " + strings.Repeat("x", 60<<10)} {
		t.Run(name, func(t *testing.T) {
			r := &Run{Options: Options{Seed: 1, Routers: 1, Dir: t.TempDir(), Program: program}}
			t.Cleanup(r.close)
			assert.NilError(t, r.prepare())
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			var wg conc.WaitGroup
			var memory map[string]int
			wg.Go(func() { memory = r.watchMemory(ctx) })
			for range 1000 {
				wg.Go(func() {
					c, err := net.Dial("tcp", r.routers[0].callers)
					if err != nil {
						return
					}
					defer c.Close()
					_, _ = fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: %s\r\n%s", deskHost, head)
					<-ctx.Done()
				})
			}
			for i := range 4 {
				wg.Go(func() { r.callers.runCaller(ctx, uint64(i), requestKinds[1]) })
			}
			wg.Wait()
			t.Logf("%d MB, %d requests", memory["r0"], len(r.callers.records))
			assert.Assert(t, memory["r0"] > 0 && memory["r0"] <= memoryMB, "%d MB of memory", memory["r0"])
		})
	}
}

// served returns the number of requests that have been answered with success.
func (c *callers) served() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rec := range c.records {
		if rec.status == 200 && rec.err == nil && !rec.ended.IsZero() {
			n++
		}
	}
	return n
}
