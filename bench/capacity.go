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
	rounds               int
	upstreams, teams     []int
	subsetRouters        []int // of the control goroutine's subset
	agents               []int
	fleetRouters         []int // routers that run
	agentRouters         []int
	ticketRates          []int // a second
	fullFleetTicketRates []int // tickets a second to as many routers as the target has
	configTeams          []int // in the configuration that routers exchange
	requestRates         []int // a second
	tokens               []int // a request
	inFlight             []int // requests at once
	connections          []int // callers' connections
	idleWindow           time.Duration
	gossipWindow         time.Duration
	trafficWindow        time.Duration
}

var (
	fullSizes = sizes{
		rounds: 10, upstreams: []int{10, 100, 1_000, 11_000}, teams: []int{5, 80, 800}, subsetRouters: []int{5, 40, 370},
		agents: []int{16, 64, 256}, fleetRouters: []int{4, 16, 64}, agentRouters: []int{3, 9, 27},
		ticketRates: []int{1, 10, 100}, fullFleetTicketRates: []int{1, 3, 10}, configTeams: []int{320, 1_600, 8_000}, requestRates: []int{20, 60, 180}, tokens: []int{8, 64}, inFlight: []int{8, 24, 64}, connections: []int{64, 256, 1_024},
		// One period of the agents' reports and of the keep-alive pings.
		// A window holds two pings and a report of each session.
		idleWindow: 62 * time.Second, gossipWindow: 2 * time.Second, trafficWindow: 1500 * time.Millisecond,
	}
	tinySizes = sizes{
		rounds: 1, upstreams: []int{3, 30, 60}, teams: []int{1, 2, 4}, subsetRouters: []int{1, 2, 4},
		agents: []int{1, 2, 3}, fleetRouters: []int{2, 3, 4}, agentRouters: []int{1, 2, 3},
		ticketRates: []int{5, 10, 20}, fullFleetTicketRates: []int{5, 10, 20}, configTeams: []int{320, 330, 340}, requestRates: []int{5, 10, 20}, tokens: []int{1, 2}, inFlight: []int{1, 2, 3}, connections: []int{1, 2, 3},
		idleWindow: 100 * time.Millisecond, gossipWindow: 300 * time.Millisecond, trafficWindow: 300 * time.Millisecond,
	}
)

// capacityRun is a run in progress.
type capacityRun struct {
	seed              uint64
	size              sizes
	allSeries         []*Series
	baseline          time.Duration
	partDurations     map[string]time.Duration
	notes             []string
	startResident     float64 // resident bytes of the process before any part ran
	maxRouterSessions int     // of a router at the target size
	maxAgentRouters   int     // of an agent at the target size
}

func (c *capacityRun) addSeries(part, name, unit string, vars ...string) *Series {
	s := &Series{Part: part, Name: name, Unit: unit, Vars: vars}
	c.allSeries = append(c.allSeries, s)
	return s
}

func (c *capacityRun) seriesByName(name string) *Series {
	i := slices.IndexFunc(c.allSeries, func(s *Series) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return c.allSeries[i]
}

func (c *capacityRun) addNote(format string, args ...any) {
	c.notes = append(c.notes, fmt.Sprintf(format, args...))
}

// Capacity measures the chosen parts and writes the page in Markdown.
func Capacity(ctx context.Context, w io.Writer, o Options) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("bench capacity: %w", err)
		}
	}()
	c := &capacityRun{seed: o.Seed, size: fullSizes, partDurations: map[string]time.Duration{}}
	if o.Tiny {
		c.size = tinySizes
	}
	c.baseline = measureBaseline(c.size.rounds)
	c.startResident = residentMemory()
	parts := map[string]func(context.Context) error{"a": c.measureStore, "b": c.measureControl, "c": c.measureSessions, "d": c.measureGossip, "f": c.measureTraffic, "g": c.measureFullFleet}
	for _, part := range strings.Split(cmp.Or(o.Parts, Parts), "") {
		run := parts[part]
		if run == nil {
			return fmt.Errorf("part %q: want one of %sg", part, Parts)
		}
		begun := time.Now()
		if err := run(ctx); err != nil {
			return fmt.Errorf("part %s: %w", part, err)
		}
		c.partDurations[part] = time.Since(begun)
	}
	c.writePage(w)
	return nil
}

// measureBaseline returns the time of a SHA-256 of 1 KiB, to which times are compared so
// that they mean something on another machine.
func measureBaseline(rounds int) time.Duration {
	const loop = 1000
	var block [1024]byte
	took := shortestRun(10*rounds, func() {
		for range loop {
			sum := sha256.Sum256(block[:])
			copy(block[:], sum[:])
		}
	})
	return took / loop
}
