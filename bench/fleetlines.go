package bench

import (
	"fmt"
	"math"
)

// Names of the series from which several figures are derived, and factors in derived
// figures.
const (
	routerHeapSeries           = "heap of a router's sessions, one end"
	routerStackSeries          = "stacks of a router's sessions, one end"
	routerByteRateSeries       = "bytes a second of a router's idle sessions"
	routerCPUSeries            = "processor time of a router's idle sessions, one end"
	agentMemorySeries          = "memory of an agent's sessions, one end"
	agentByteRateSeries        = "bytes a second of an agent's idle sessions"
	agentCPUSeries             = "processor time of an agent with its upstream"
	platformUpByteRateSeries   = "bytes a second of a router at rest and at the lowest rate, platform up"
	singleReaderByteRateSeries = "bytes a second of a router at rest and at the lowest rate, one router sees the platform"
	fleetCPUSeriesPrefix       = "processor time of all routers with the stand-ins at rest and at the lowest rate, "
	inFlightMemorySeries       = "memory of requests in flight, all processes"
	storeMemorySeries          = "memory of the ticket store"
	startReadsSeries           = "reads of tickets in the busiest second of a start of all routers"
	hostReadsSeries            = "reads of the host list a second, busiest rate"
	requestLatency             = 1.2 // seconds per request: 0.39 s to the first token, then some tokens
	gcHeapFactor               = 2   // ratio of the heap in use to the live heap, with the default GOGC of 100
)

// rowAt returns row with the value of a series at x, its standard error and a note on
// the extrapolation, or nothing when the series was not measured.
func (c *capacityRun) rowAt(series string, row Row, x ...float64) []Row {
	var note string
	var ok bool
	if row.Value, row.StdErr, note, ok = c.extrapolate(series, x...); !ok {
		return nil
	}
	if note != "" {
		row.Note = joinNotes(note, row.Note)
	}
	return []Row{row}
}

// idleByteRateRemedy is the remedy for idle sessions that send too many bytes.
const idleByteRateRemedy = "Reports could come on a change alone, and pings every 60 s."

// sessionRows derives the rows of a router's sessions to agents.
func (c *capacityRun) sessionRows() (out []Row) {
	n := c.assumedSessions()
	sessionsNote := fmt.Sprintf("%s sessions assumed", formatNumber(n))
	add := func(series string, row Row) {
		row.Role, row.Note = "router", joinNotes(row.Note, sessionsNote)
		out = append(out, c.rowAt(series, row, n)...)
	}
	const idleMechanism = "a keep-alive ping in 30 s and a report in 60 s a session"
	add(routerHeapSeries, Row{
		Quantity: "state: sessions, live heap", Unit: "MB", Target: maxMemory, Mechanism: "one QUIC connection a session, bounded by the subset",
		BreaksAt: c.breaksAt(routerHeapSeries, maxMemory, 0, n),
	})
	add(routerStackSeries, Row{
		Quantity: "state: sessions, stacks", Unit: "MB", Target: maxMemory, Mechanism: "goroutines of QUIC and of the link",
		BreaksAt: c.breaksAt(routerStackSeries, maxMemory, 0, n),
	})
	add(routerByteRateSeries, Row{Quantity: "messages: idle sessions", Unit: "B/s", Target: maxByteRate, Mechanism: idleMechanism, BreaksAt: c.breaksAt(routerByteRateSeries, maxByteRate, 0, n), Remedy: idleByteRateRemedy})
	add(routerCPUSeries, Row{Quantity: "idle sessions, processor time", Unit: "µs/s", Target: maxControlCPU * 1e6, Mechanism: idleMechanism, BreaksAt: c.breaksAt(routerCPUSeries, maxControlCPU*1e6, 0, n)})
	add("time until a started router may use its agents", Row{
		Quantity: "restart: all sessions open after", Unit: "ms", Target: maxInForceTime * 1e3,
		Mechanism: "one handshake a session, all at once",
	})
	add("processor time of opening sessions, both ends", Row{Quantity: "restart: opening all sessions", Unit: "ms", Mechanism: "mutual TLS 1.3 a session"})
	if openCPU, _, _, ok := c.extrapolate("processor time of opening sessions, both ends", n); ok {
		hosts := float64(targetRouters + targetUpstreams)
		redialRate := (targetRestartRate + targetFailureRate) / hosts * n // sessions per second that end because their agent's host restarts or fails
		out = append(out, Row{
			Role: "router", Quantity: "4,500 restarts and 130 failures a day, sessions opened again", Value: redialRate * openCPU / n * 1e3,
			Unit: "µs/s", Target: maxControlCPU * 1e6, Mechanism: "redial with back-off", Note: sessionsNote,
			BreaksAt: fmt.Sprintf("%s restarts a day of all hosts", formatNumber(maxControlCPU*1e3/(openCPU/n)*hosts/n*secondsPerDay)),
		})
	}
	return out
}

// assumedSessions returns the most sessions of a router, or the limit of a subset when
// they were not computed.
func (c *capacityRun) assumedSessions() float64 {
	const subsetLimit = 256
	if c.maxRouterSessions == 0 {
		return subsetLimit
	}
	return float64(c.maxRouterSessions)
}

// assumedAgentRouters returns the most routers of an agent, or a typical number when
// they were not computed.
func (c *capacityRun) assumedAgentRouters() float64 {
	const typicalRouters = 10
	if c.maxAgentRouters == 0 {
		return typicalRouters
	}
	return float64(c.maxAgentRouters)
}

// agentRows derives the rows of an agent's sessions to routers.
func (c *capacityRun) agentRows() (out []Row) {
	n := c.assumedAgentRouters()
	add := func(series string, row Row) {
		row.Role, row.Note = "agent", fmt.Sprintf("%s routers assumed", formatNumber(n))
		out = append(out, c.rowAt(series, row, n)...)
	}
	add(agentMemorySeries, Row{
		Quantity: "state: sessions, heap and stacks", Unit: "MB", Target: maxMemory,
		Mechanism: "one QUIC connection a session, bounded by the subsets of routers", BreaksAt: c.breaksAt(agentMemorySeries, maxMemory, 0, n),
	})
	add(agentByteRateSeries, Row{Quantity: "messages: idle sessions", Unit: "B/s", Target: maxByteRate, Mechanism: "a ping in 30 s and a report in 60 s to each router", BreaksAt: c.breaksAt(agentByteRateSeries, maxByteRate, 0, n)})
	add(agentCPUSeries, Row{
		Quantity: "sessions and five polls of the upstream a second, processor time", Unit: "µs/s", Target: maxControlCPU * 1e6,
		Mechanism: "timer service, HTTP keep-alive", BreaksAt: c.breaksAt(agentCPUSeries, maxControlCPU*1e6, 0, n),
	})
	return out
}

// gossipRows derives the rows of anti-entropy between routers.
func (c *capacityRun) gossipRows() (out []Row) {
	logRouters := math.Log2(targetRouters)
	for _, scenario := range []struct{ series, name string }{{platformUpByteRateSeries, "platform up"}, {singleReaderByteRateSeries, "one router sees the platform"}} {
		out = append(out, c.rowAt(scenario.series, Row{
			Role: "router", Quantity: "messages: anti-entropy at 0.243 tickets/s, " + scenario.name, Unit: "B/s", Target: maxByteRate,
			Mechanism: "root each second to one of 9 peers; newest objects at once to 2", BreaksAt: c.breaksAt(scenario.series, maxByteRate, 1, logRouters, targetTicketRate),
			Remedy: "Roots could be sent every 2 s instead of every second; the figure varies between runs (1.0 to 3.0 KB/s at rest among 64 routers).",
		}, logRouters, targetTicketRate)...)
	}
	for _, scenario := range []struct{ name, mechanism string }{
		{"platform up", "watch of the configuration service, jitter of 100 ms"},
		{"one router sees the platform", "announcement to 2 peers and exchange each second, diameter log2"},
	} {
		series := "time until in force, p99.9, worst rate, " + scenario.name
		out = append(out, c.rowAt(series, Row{
			Role: "router", Quantity: "ticket in force at all routers, p99.9, " + scenario.name, Unit: "ms", Target: maxInForceTime * 1e3,
			Mechanism: scenario.mechanism, BreaksAt: c.breaksAtRouters(series, maxInForceTime*1e3), Note: "grows with the logarithm of routers in the fit",
		}, logRouters)...)
	}
	const lossSeries = "time until in force, p99.9, one router sees the platform, a data centre lost"
	out = append(out, c.rowAt(lossSeries, Row{
		Role: "router", Quantity: "the same with a data centre lost and still listed", Unit: "ms", Target: maxInForceTime * 1e3,
		Mechanism: "other peers carry it; an exchange with a silent peer takes up to 2 s", BreaksAt: c.breaksAtRouters(lossSeries, maxInForceTime*1e3),
	}, logRouters)...)
	if configSize, stdErr, _, ok := c.extrapolate("a whole configuration in messages", targetUpstreams, targetTeams); ok {
		out = append(out, Row{
			Role: "router", Quantity: "end of a partition between regions, most bytes of one exchange, each way", Value: configSize, StdErr: stdErr, Unit: "MB",
			Mechanism: "buckets that differ, when more than 256 objects changed", BreaksAt: fmt.Sprintf("%s minutes of partition (256 objects at 0.243/s)", formatNumber(256/targetTicketRate/60)),
			Note: "size of all objects; up to then the newest objects alone",
		})
	}
	return out
}

// breaksAtRouters describes the number of routers at which a series whose variable is
// the logarithm of that number reaches y.
func (c *capacityRun) breaksAtRouters(series string, y float64) string {
	s := c.seriesByName(series)
	if s == nil {
		return ""
	}
	f, err := s.Fit()
	if err != nil {
		return ""
	}
	n := math.Exp2(f.Reach(y, 0, math.Log2(targetRouters)))
	if n > 1e6 {
		return "over 1,000,000 routers"
	}
	return fmt.Sprintf("%s routers", formatNumber(math.Round(n)))
}

// readRows derives the rows of the routers' reads from the platform.
func (c *capacityRun) readRows() (out []Row) {
	for _, rate := range append([]int{0}, c.size.ticketRates...) {
		series := ticketReadsSeries(rate)
		out = append(out, c.rowAt(series, Row{
			Role: "platform", Quantity: fmt.Sprintf("reads of tickets at %d tickets/s", rate), Unit: "reads/s", Target: maxReadRate,
			Mechanism: "watch of 2 s; at most 4 reads a second and router beside the waiting one", BreaksAt: c.breaksAt(series, maxReadRate, 0, targetRouters),
			Note:   fmt.Sprintf("%sx the target's rate of tickets", formatNumber(float64(rate)/targetTicketRate)),
			Remedy: "Fewer reads a second and router (`readRate` in `plat`) would delay changes at such rates only.",
		}, targetRouters)...)
	}
	out = append(out, c.rowAt(hostReadsSeries, Row{
		Role: "platform", Quantity: "reads of the host list, in addition if one service has both", Unit: "reads/s", Target: maxReadRate,
		Mechanism: "a read in 1.5 to 1.7 s a router", BreaksAt: c.breaksAt(hostReadsSeries, maxReadRate, 0, targetRouters),
	}, targetRouters)...)
	return append(out, c.rowAt(startReadsSeries, Row{
		Role: "platform", Quantity: "reads of tickets in the busiest second when all routers start at once", Unit: "reads/s", Target: maxReadRate,
		Mechanism: "burst of 4 a router; 429 and back-off beyond", BreaksAt: c.breaksAt(startReadsSeries, maxReadRate, 0, targetRouters),
		Remedy: "A smaller burst (`readBurst` in `plat`) would do; reads over the rate are answered 429 and repeated.",
	}, targetRouters)...)
}

// trafficRows derives the rows of requests and of callers' connections.
func (c *capacityRun) trafficRows() (out []Row) {
	const series = "processor time of all processes"
	s := c.seriesByName(series)
	if s == nil {
		return nil
	}
	f, err := s.Fit()
	if err != nil {
		return nil
	}
	const note = "callers, routers, agents and stand-ins together: an upper bound"
	mechanism := "goroutine a request; QUIC stream a stage"
	out = append(out,
		Row{Role: "traffic", Quantity: "a request of 4 stages", Value: f.Coef[1], StdErr: f.StdErr[1], Unit: "µs", Mechanism: mechanism, Note: note},
		Row{Role: "traffic", Quantity: "a token", Value: f.Coef[2], StdErr: f.StdErr[2], Unit: "µs", Mechanism: "one chunk and one event a token", Note: note},
		Row{
			Role: "traffic", Quantity: "37.8 requests/s and 13,784 tokens/s of one router", Value: (f.Coef[1]*routerRequestRate + f.Coef[2]*routerTokenRate) / 1e6,
			StdErr: (f.StdErr[1]*routerRequestRate + f.StdErr[2]*routerTokenRate) / 1e6, Unit: "cores", Mechanism: mechanism, Note: joinNotes(note, s.Extrapolation(routerRequestRate, routerTokenRate)),
		})
	inFlight := routerRequestRate * requestLatency
	out = append(out, c.rowAt(inFlightMemorySeries, Row{
		Role: "traffic", Quantity: fmt.Sprintf("%s requests in flight at a router", formatNumber(math.Round(inFlight))), Unit: "MB",
		Mechanism: "bound of 4,096, refused beyond", BreaksAt: "4,096 requests in flight", Note: "all processes together",
	}, math.Round(inFlight))...)
	const connSeries = "memory of callers' connections, both ends"
	if m := c.seriesByName(connSeries); m != nil {
		if fit, err := m.Fit(); err == nil {
			out = append(out, Row{
				Role: "callers", Quantity: "an open idle connection", Value: fit.Coef[1] * 1e3, StdErr: fit.StdErr[1] * 1e3, Unit: "kB",
				Mechanism: "fasthttp buffers and one goroutine a connection", BreaksAt: c.breaksAt(connSeries, maxMemory, 0, 1) + " fill 64 MB", Note: "both ends together; there is no bound on connections",
			})
		}
	}
	return out
}

// totalRows derives the totals of each daemon, and the size of all state dumps that
// the operator's command reads.
func (c *capacityRun) totalRows() (out []Row) {
	sessions, agentRouters := c.assumedSessions(), c.assumedAgentRouters()
	addSum := func(quantity string, row Row, parts ...float64) {
		row.Quantity = quantity
		for _, p := range parts {
			row.Value += p
		}
		out = append(out, row)
	}
	heap, _, _, ok := c.extrapolate(routerHeapSeries, sessions)
	stack, _, _, _ := c.extrapolate(routerStackSeries, sessions)
	store, _, _, ok2 := c.extrapolate(storeMemorySeries, targetUpstreams, targetTeams)
	if ok && ok2 {
		addSum("memory in all, control", Row{
			Role: "router", Unit: "MB", Target: maxMemory, Mechanism: "live heap twice (GOGC 100), stacks, and the process at its start",
			Note: "sum of the figures above; without requests in flight", Remedy: "Fewer sessions, or a memory limit for the collector (`GOMEMLIMIT`), which costs processor time.", BreaksAt: fmt.Sprintf("%s sessions", formatNumber(math.Floor(sessions*(maxMemory-c.startResident/megabyte-gcHeapFactor*store)/(gcHeapFactor*heap+stack)))),
		},
			gcHeapFactor*(heap+store), stack, c.startResident/megabyte)
	}
	idleBytes, _, _, ok := c.extrapolate(routerByteRateSeries, sessions)
	gossipBytes, _, _, ok2 := c.extrapolate(platformUpByteRateSeries, math.Log2(targetRouters), targetTicketRate)
	if ok && ok2 {
		addSum("messages in all, control", Row{
			Role: "router", Unit: "B/s", Target: maxByteRate, Mechanism: "idle sessions and anti-entropy",
			Note: "sum of the figures above; without prefixes in reports and without the platform's reads", BreaksAt: fmt.Sprintf("%s sessions", formatNumber(max(0, math.Floor(sessions*(maxByteRate-gossipBytes)/idleBytes)))),
			Remedy: fmt.Sprintf("Half the pings and reports would leave %s B/s (computed).", formatNumber(idleBytes/2+gossipBytes)),
		}, idleBytes, gossipBytes)
	}
	sessionCPU, _, _, ok := c.extrapolate(routerCPUSeries, sessions)
	gossipCPU, _, _, ok2 := c.extrapolate(fleetCPUSeriesPrefix+"platform up", targetRouters, targetRouters*targetTicketRate)
	rebuild, _, _, ok3 := c.extrapolate("one rebuild of the control state", sessions)
	subset, _, _, _ := c.extrapolate("one choice of the subset", targetUpstreams, targetRouters)
	if ok && ok2 && ok3 {
		// Rebuilds per second: one refresh, two exchanges, and a read of the host list
		// every 1.6 s.
		const rebuildsPerSecond = 1 + 2 + 1/1.6
		addSum("processor time in all, control", Row{
			Role: "router", Unit: "% of a core", Target: 100 * maxControlCPU, Mechanism: "sessions, anti-entropy, control goroutine",
			Note: "sum of the figures above",
		}, (sessionCPU+gossipCPU/targetRouters+rebuildsPerSecond*rebuild+targetTicketRate*(rebuild+subset))/1e4)
	}
	agentMemory, _, _, ok := c.extrapolate(agentMemorySeries, agentRouters)
	if ok {
		addSum("memory in all, control", Row{
			Role: "agent", Unit: "MB", Target: maxMemory, Mechanism: "sessions twice (GOGC 100) and the process at its start",
			Note: "without held results (bound 16 MB)",
		}, gcHeapFactor*agentMemory, c.startResident/megabyte)
	}
	const dumpSeries = "state dump of a router"
	if dumpSize, stdErr, note, ok := c.extrapolate(dumpSeries, sessions); ok {
		out = append(out, Row{
			Role: "operator's command", Quantity: "state dumps of all routers, read once", Value: dumpSize * targetRouters / 1e3, StdErr: stdErr * targetRouters / 1e3, Unit: "MB",
			Mechanism: "one dump a router, on request; the command keeps no state and sends nothing at rest", Note: note,
		})
	}
	return out
}
