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

// Parts holds the letters of the parts that a capacity run measures by default, in
// order. Part e, reads from the platform, is measured with part d. Part g, gossip
// among as many routers as the target size has, runs only when it is named.
const Parts = "abcdf"

// Options are the options of a capacity run.
type Options struct {
	Parts string // letters of the parts to run; empty means the default, Parts
	Seed  uint64 // seed of all random choices
	Tiny  bool   // use the smallest sizes, for tests
}

// sizes holds the sizes and rates at which quantities are measured, and the lengths
// of the measuring windows.
type sizes struct {
	rounds               int           // repetitions of a timed operation; short ones run ten times as often
	upstreams, teams     []int         // numbers of objects in a configuration
	subsetRouters        []int         // routers in the host list from which subsets are computed
	agents               []int         // agents of one router
	fleetRouters         []int         // running routers in gossip measurements
	agentRouters         []int         // routers of one agent
	ticketRates          []int         // tickets per second
	fullFleetTicketRates []int         // tickets per second, with as many routers as the target size has
	configTeams          []int         // teams in the configuration that routers exchange
	requestRates         []int         // requests per second
	tokens               []int         // tokens per request
	inFlight             []int         // concurrent requests
	connections          []int         // idle connections of callers
	idleWindow           time.Duration // window for the idle sessions of one router
	gossipWindow         time.Duration // window for each ticket rate
	trafficWindow        time.Duration // window for each request rate and number of tokens
}

var (
	// fullSizes are the sizes of a normal run.
	fullSizes = sizes{
		rounds: 10, upstreams: []int{10, 100, 1_000, 11_000}, teams: []int{5, 80, 800}, subsetRouters: []int{5, 40, 370},
		agents: []int{16, 64, 256}, fleetRouters: []int{4, 16, 64}, agentRouters: []int{3, 9, 27},
		ticketRates: []int{1, 10, 100}, fullFleetTicketRates: []int{1, 3, 10}, configTeams: []int{320, 1_600, 8_000}, requestRates: []int{20, 60, 180}, tokens: []int{8, 64}, inFlight: []int{8, 24, 64}, connections: []int{64, 256, 1_024},
		// idleWindow covers one 60 s report and two 30 s keep-alive pings of each
		// session.
		idleWindow: 62 * time.Second, gossipWindow: 2 * time.Second, trafficWindow: 1500 * time.Millisecond,
	}
	// tinySizes let a test run all parts quickly. Their figures mean nothing.
	tinySizes = sizes{
		rounds: 1, upstreams: []int{3, 30, 60}, teams: []int{1, 2, 4}, subsetRouters: []int{1, 2, 4},
		agents: []int{1, 2, 3}, fleetRouters: []int{2, 3, 4}, agentRouters: []int{1, 2, 3},
		ticketRates: []int{5, 10, 20}, fullFleetTicketRates: []int{5, 10, 20}, configTeams: []int{320, 330, 340}, requestRates: []int{5, 10, 20}, tokens: []int{1, 2}, inFlight: []int{1, 2, 3}, connections: []int{1, 2, 3},
		idleWindow: 100 * time.Millisecond, gossipWindow: 300 * time.Millisecond, trafficWindow: 300 * time.Millisecond,
	}
)

// capacityRun holds the measurements of a capacity run in progress.
type capacityRun struct {
	seed              uint64
	size              sizes
	allSeries         []*Series
	baseline          time.Duration            // result of measureBaseline
	partDurations     map[string]time.Duration // by letter of the part
	notes             []string
	startResident     float64 // resident memory of the process in bytes before the first part
	maxRouterSessions int     // most sessions of a router at the largest sizes, 0 if not computed
	maxAgentRouters   int     // most routers of an agent at the largest sizes, 0 if not computed
}

// addSeries adds an empty series of measurements to the page.
func (c *capacityRun) addSeries(part, name, unit string, vars ...string) *Series {
	s := &Series{Part: part, Name: name, Unit: unit, Vars: vars}
	c.allSeries = append(c.allSeries, s)
	return s
}

// seriesByName returns the series with a name, or nil if it was not measured.
func (c *capacityRun) seriesByName(name string) *Series {
	i := slices.IndexFunc(c.allSeries, func(s *Series) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return c.allSeries[i]
}

// addNote adds an entry to the notes of the page.
func (c *capacityRun) addNote(format string, args ...any) {
	c.notes = append(c.notes, fmt.Sprintf(format, args...))
}

// Capacity measures the parts that o names and writes the capacity page to w in
// Markdown. It writes nothing when a part fails.
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
		start := time.Now()
		if err := run(ctx); err != nil {
			return fmt.Errorf("part %s: %w", part, err)
		}
		c.partDurations[part] = time.Since(start)
	}
	c.writePage(w)
	return nil
}

// measureBaseline returns the time of a SHA-256 of 1 KiB. Times are also given as
// multiples of it so that they can be compared between machines.
func measureBaseline(rounds int) time.Duration {
	const hashesPerRound = 1000
	var block [1024]byte
	elapsed := shortestRun(10*rounds, func() {
		for range hashesPerRound {
			sum := sha256.Sum256(block[:])
			copy(block[:], sum[:])
		}
	})
	return elapsed / hashesPerRound
}
