package bench

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Parts lists the parts of a capacity run in order. Part e, the platform's
// reads, is measured with part d; part g, gossip among as many routers as the
// target has, only runs when it is named.
const Parts = "abcdf"

// Options of a capacity run.
type Options struct {
	Parts string // letters of the parts to run; empty means all
	Seed  uint64
	Tiny  bool // smallest sizes, for tests
}

// sizes are the sizes at which quantities are measured.
type sizes struct {
	rounds           int
	upstreams, teams []int
	routers          []int // of the control goroutine's subset
	agents           []int
	fleet            []int // routers that run
	agentRouters     []int
	tickets          []int // a second
	whole            []int // tickets a second to as many routers as the target has
	gossipTeams      []int // in the configuration that routers exchange
	requests         []int // a second
	tokens           []int // a request
	flight           []int // requests at once
	conns            []int // callers' connections
	idle             time.Duration
	gossip           time.Duration
	traffic          time.Duration
}

var (
	fullSizes = sizes{
		rounds: 10, upstreams: []int{10, 100, 1_000, 11_000}, teams: []int{5, 80, 800}, routers: []int{5, 40, 370},
		agents: []int{16, 64, 256}, fleet: []int{4, 16, 64}, agentRouters: []int{3, 9, 27},
		tickets: []int{1, 10, 100}, whole: []int{1, 3, 10}, gossipTeams: []int{320, 1_600, 8_000}, requests: []int{20, 60, 180}, tokens: []int{8, 64}, flight: []int{8, 24, 64}, conns: []int{64, 256, 1_024},
		// One period of the agents' reports and of the keep-alive pings.
		// A window holds two pings and a report of each session.
		idle: 62 * time.Second, gossip: 2 * time.Second, traffic: 1500 * time.Millisecond,
	}
	tinySizes = sizes{
		rounds: 1, upstreams: []int{3, 30, 60}, teams: []int{1, 2, 4}, routers: []int{1, 2, 4},
		agents: []int{1, 2, 3}, fleet: []int{2, 3, 4}, agentRouters: []int{1, 2, 3},
		tickets: []int{5, 10, 20}, whole: []int{5, 10, 20}, gossipTeams: []int{320, 330, 340}, requests: []int{5, 10, 20}, tokens: []int{1, 2}, flight: []int{1, 2, 3}, conns: []int{1, 2, 3},
		idle: 100 * time.Millisecond, gossip: 300 * time.Millisecond, traffic: 300 * time.Millisecond,
	}
)

// capacity is a run in progress.
type capacity struct {
	seed         uint64
	size         sizes
	all          []*Series
	base         time.Duration
	took         map[string]time.Duration
	notes        []string
	idle         float64 // resident bytes of the process before any part ran
	mostSessions int     // of a router at the target size
	mostRouters  int     // of an agent at the target size
}

func (c *capacity) series(part, name, unit string, vars ...string) *Series {
	s := &Series{Part: part, Name: name, Unit: unit, Vars: vars}
	c.all = append(c.all, s)
	return s
}

func (c *capacity) find(name string) *Series {
	i := slices.IndexFunc(c.all, func(s *Series) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return c.all[i]
}

func (c *capacity) note(format string, args ...any) {
	c.notes = append(c.notes, fmt.Sprintf(format, args...))
}

// Capacity measures the chosen parts and writes the page in Markdown.
func Capacity(ctx context.Context, w io.Writer, o Options) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("bench capacity: %w", err)
		}
	}()
	c := &capacity{seed: o.Seed, size: fullSizes, took: map[string]time.Duration{}}
	if o.Tiny {
		c.size = tinySizes
	}
	c.base = baseline(c.size.rounds)
	c.idle = resident()
	parts := map[string]func(context.Context) error{"a": c.storePart, "b": c.controlPart, "c": c.sessionsPart, "d": c.gossipPart, "f": c.trafficPart, "g": c.wholePart}
	for _, part := range strings.Split(cmp.Or(o.Parts, Parts), "") {
		run := parts[part]
		if run == nil {
			return fmt.Errorf("part %q: want one of %sg", part, Parts)
		}
		begun := time.Now()
		if err := run(ctx); err != nil {
			return fmt.Errorf("part %s: %w", part, err)
		}
		c.took[part] = time.Since(begun)
	}
	c.write(w)
	return nil
}

// baseline returns the time of a SHA-256 of 1 KiB, to which times are compared so
// that they mean something on another machine.
func baseline(rounds int) time.Duration {
	const loop = 1000
	var block [1024]byte
	took := least(10*rounds, func() {
		for range loop {
			sum := sha256.Sum256(block[:])
			copy(block[:], sum[:])
		}
	})
	return took / loop
}
