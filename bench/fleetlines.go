package bench

import (
	"fmt"
	"math"
)

// Names of series from which several figures are derived.
const (
	routerHeap   = "heap of a router's sessions, one end"
	routerStack  = "stacks of a router's sessions, one end"
	routerBytes  = "bytes a second of a router's idle sessions"
	routerWork   = "processor time of a router's idle sessions, one end"
	agentMemory  = "memory of an agent's sessions, one end"
	agentBytes   = "bytes a second of an agent's idle sessions"
	agentWork    = "processor time of an agent with its upstream"
	upLow        = "bytes a second of a router at rest and at the lowest rate, platform up"
	oneLow       = "bytes a second of a router at rest and at the lowest rate, one router sees the platform"
	allWork      = "processor time of all routers with the stand-ins at rest and at the lowest rate, "
	flightMemory = "memory of requests in flight, all processes"
	storeMemory  = "memory of the ticket store"
	startReads   = "reads of tickets in the busiest second of a start of all routers"
	hostReads    = "reads of the host list a second, busiest rate"
	latency      = 1.2 // s of a request: 0.39 s to the first token and some tokens
	garbage      = 2   // heap in use over live heap, with the default GOGC of 100
)

// line returns a row with a series' value at a size.
func (c *capacity) line(series string, l Line, x ...float64) []Line {
	var note string
	var ok bool
	if l.Value, l.Err, note, ok = c.at(series, x...); !ok {
		return nil
	}
	if note != "" {
		l.Note = join(note, l.Note)
	}
	return []Line{l}
}

// slowBeat is what would lower the bytes of idle sessions.
const slowBeat = "Reports could come on a change alone, and pings every 60 s."

func (c *capacity) sessionLines() (out []Line) {
	n := c.sessions()
	sessions := fmt.Sprintf("%s sessions assumed", number(n))
	add := func(series string, l Line) {
		l.Role, l.Note = "router", join(l.Note, sessions)
		out = append(out, c.line(series, l, n)...)
	}
	const pings = "a keep-alive ping in 30 s and a report in 60 s a session"
	add(routerHeap, Line{
		Quantity: "state: sessions, live heap", Unit: "MB", Target: maxMemory, Mechanism: "one QUIC connection a session, bounded by the subset",
		Breaks: c.reach(routerHeap, maxMemory, 0, n),
	})
	add(routerStack, Line{
		Quantity: "state: sessions, stacks", Unit: "MB", Target: maxMemory, Mechanism: "goroutines of QUIC and of the link",
		Breaks: c.reach(routerStack, maxMemory, 0, n),
	})
	add(routerBytes, Line{Quantity: "messages: idle sessions", Unit: "B/s", Target: maxBytes, Mechanism: pings, Breaks: c.reach(routerBytes, maxBytes, 0, n), Change: slowBeat})
	add(routerWork, Line{Quantity: "idle sessions, processor time", Unit: "µs/s", Target: maxCPU * 1e6, Mechanism: pings, Breaks: c.reach(routerWork, maxCPU*1e6, 0, n)})
	add("time until a started router may use its agents", Line{
		Quantity: "restart: all sessions open after", Unit: "ms", Target: maxForce * 1e3,
		Mechanism: "one handshake a session, all at once",
	})
	add("processor time of opening sessions, both ends", Line{Quantity: "restart: opening all sessions", Unit: "ms", Mechanism: "mutual TLS 1.3 a session"})
	if opening, _, _, ok := c.at("processor time of opening sessions, both ends", n); ok {
		hosts := float64(targetRouters + targetUpstreams)
		again := (targetRestart + targetFail) / hosts * n // sessions a second that agents end
		out = append(out, Line{
			Role: "router", Quantity: "4,500 restarts and 130 failures a day, sessions opened again", Value: again * opening / n * 1e3,
			Unit: "µs/s", Target: maxCPU * 1e6, Mechanism: "redial with back-off", Note: sessions,
			Breaks: fmt.Sprintf("%s restarts a day of all hosts", number(maxCPU*1e3/(opening/n)*hosts/n*day)),
		})
	}
	return out
}

// sessions returns the sessions of the fullest router.
func (c *capacity) sessions() float64 {
	const bound = 256
	if c.mostSessions == 0 {
		return bound
	}
	return float64(c.mostSessions)
}

// agentRouters returns the routers of the busiest agent.
func (c *capacity) agentRouters() float64 {
	const usual = 10
	if c.mostRouters == 0 {
		return usual
	}
	return float64(c.mostRouters)
}

func (c *capacity) agentLines() (out []Line) {
	n := c.agentRouters()
	add := func(series string, l Line) {
		l.Role, l.Note = "agent", fmt.Sprintf("%s routers assumed", number(n))
		out = append(out, c.line(series, l, n)...)
	}
	add(agentMemory, Line{
		Quantity: "state: sessions, heap and stacks", Unit: "MB", Target: maxMemory,
		Mechanism: "one QUIC connection a session, bounded by the subsets of routers", Breaks: c.reach(agentMemory, maxMemory, 0, n),
	})
	add(agentBytes, Line{Quantity: "messages: idle sessions", Unit: "B/s", Target: maxBytes, Mechanism: "a ping in 30 s and a report in 60 s to each router", Breaks: c.reach(agentBytes, maxBytes, 0, n)})
	add(agentWork, Line{
		Quantity: "sessions and five polls of the upstream a second, processor time", Unit: "µs/s", Target: maxCPU * 1e6,
		Mechanism: "timer service, HTTP keep-alive", Breaks: c.reach(agentWork, maxCPU*1e6, 0, n),
	})
	return out
}

func (c *capacity) gossipLines() (out []Line) {
	log := math.Log2(targetRouters)
	for _, how := range []struct{ series, name string }{{upLow, "platform up"}, {oneLow, "one router sees the platform"}} {
		out = append(out, c.line(how.series, Line{
			Role: "router", Quantity: "messages: anti-entropy at 0.243 tickets/s, " + how.name, Unit: "B/s", Target: maxBytes,
			Mechanism: "root each second to one of 9 peers; newest objects at once to 2", Breaks: c.reach(how.series, maxBytes, 1, log, targetTickets),
			Change: "Roots could be sent every 2 s instead of every second; the figure varies between runs (1.0 to 3.0 KB/s at rest among 64 routers).",
		}, log, targetTickets)...)
	}
	for _, how := range []struct{ name, carries string }{
		{"platform up", "watch of the configuration service, jitter of 100 ms"},
		{"one router sees the platform", "announcement to 2 peers and exchange each second, diameter log2"},
	} {
		series := "time until in force, p99.9, worst rate, " + how.name
		out = append(out, c.line(series, Line{
			Role: "router", Quantity: "ticket in force at all routers, p99.9, " + how.name, Unit: "ms", Target: maxForce * 1e3,
			Mechanism: how.carries, Breaks: c.reachRouters(series, maxForce*1e3), Note: "grows with the logarithm of routers in the fit",
		}, log)...)
	}
	const loss = "time until in force, p99.9, one router sees the platform, a data centre lost"
	out = append(out, c.line(loss, Line{
		Role: "router", Quantity: "the same with a data centre lost and still listed", Unit: "ms", Target: maxForce * 1e3,
		Mechanism: "other peers carry it; an exchange with a silent peer takes up to 2 s", Breaks: c.reachRouters(loss, maxForce*1e3),
	}, log)...)
	if whole, se, _, ok := c.at("a whole configuration in messages", targetUpstreams, targetTeams); ok {
		out = append(out, Line{
			Role: "router", Quantity: "end of a partition between regions, most bytes of one exchange, each way", Value: whole, Err: se, Unit: "MB",
			Mechanism: "buckets that differ, when more than 256 objects changed", Breaks: fmt.Sprintf("%s minutes of partition (256 objects at 0.243/s)", number(256/targetTickets/60)),
			Note: "size of all objects; up to then the newest objects alone",
		})
	}
	return out
}

// reachRouters describes the number of routers at which a series over its
// logarithm reaches y.
func (c *capacity) reachRouters(series string, y float64) string {
	s := c.find(series)
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
	return fmt.Sprintf("%s routers", number(math.Round(n)))
}

func (c *capacity) readLines() (out []Line) {
	for _, rate := range append([]int{0}, c.size.tickets...) {
		series := ticketReads(rate)
		out = append(out, c.line(series, Line{
			Role: "platform", Quantity: fmt.Sprintf("reads of tickets at %d tickets/s", rate), Unit: "reads/s", Target: maxReads,
			Mechanism: "watch of 2 s; at most 4 reads a second and router beside the waiting one", Breaks: c.reach(series, maxReads, 0, targetRouters),
			Note:   fmt.Sprintf("%sx the target's rate of tickets", number(float64(rate)/targetTickets)),
			Change: "Fewer reads a second and router (`readRate` in `plat`) would delay changes at such rates only.",
		}, targetRouters)...)
	}
	out = append(out, c.line(hostReads, Line{
		Role: "platform", Quantity: "reads of the host list, in addition if one service has both", Unit: "reads/s", Target: maxReads,
		Mechanism: "a read in 1.5 to 1.7 s a router", Breaks: c.reach(hostReads, maxReads, 0, targetRouters),
	}, targetRouters)...)
	return append(out, c.line(startReads, Line{
		Role: "platform", Quantity: "reads of tickets in the busiest second when all routers start at once", Unit: "reads/s", Target: maxReads,
		Mechanism: "burst of 4 a router; 429 and back-off beyond", Breaks: c.reach(startReads, maxReads, 0, targetRouters),
		Change: "A smaller burst (`readBurst` in `plat`) would do; reads over the rate are answered 429 and repeated.",
	}, targetRouters)...)
}

func (c *capacity) trafficLines() (out []Line) {
	const series = "processor time of all processes"
	s := c.find(series)
	if s == nil {
		return nil
	}
	f, err := s.Fit()
	if err != nil {
		return nil
	}
	const shared = "callers, routers, agents and stand-ins together: an upper bound"
	mechanism := "goroutine a request; QUIC stream a stage"
	out = append(out,
		Line{Role: "traffic", Quantity: "a request of 4 stages", Value: f.Coef[1], Err: f.Err[1], Unit: "µs", Mechanism: mechanism, Note: shared},
		Line{Role: "traffic", Quantity: "a token", Value: f.Coef[2], Err: f.Err[2], Unit: "µs", Mechanism: "one chunk and one event a token", Note: shared},
		Line{
			Role: "traffic", Quantity: "37.8 requests/s and 13,784 tokens/s of one router", Value: (f.Coef[1]*routerRate + f.Coef[2]*routerTokens) / 1e6,
			Err: (f.Err[1]*routerRate + f.Err[2]*routerTokens) / 1e6, Unit: "cores", Mechanism: mechanism, Note: join(shared, s.Beyond(routerRate, routerTokens)),
		})
	flight := routerRate * latency
	out = append(out, c.line(flightMemory, Line{
		Role: "traffic", Quantity: fmt.Sprintf("%s requests in flight at a router", number(math.Round(flight))), Unit: "MB",
		Mechanism: "bound of 4,096, refused beyond", Breaks: "4,096 requests in flight", Note: "all processes together",
	}, math.Round(flight))...)
	const conns = "memory of callers' connections, both ends"
	if m := c.find(conns); m != nil {
		if fit, err := m.Fit(); err == nil {
			out = append(out, Line{
				Role: "callers", Quantity: "an open idle connection", Value: fit.Coef[1] * 1e3, Err: fit.Err[1] * 1e3, Unit: "kB",
				Mechanism: "fasthttp buffers and one goroutine a connection", Breaks: c.reach(conns, maxMemory, 0, 1) + " fill 64 MB", Note: "both ends together; there is no bound on connections",
			})
		}
	}
	return out
}

// totalLines adds up what a daemon takes, and what the operator's command reads.
func (c *capacity) totalLines() (out []Line) {
	n, routers := c.sessions(), c.agentRouters()
	sum := func(quantity string, l Line, parts ...float64) {
		l.Quantity = quantity
		for _, p := range parts {
			l.Value += p
		}
		out = append(out, l)
	}
	heap, _, _, ok := c.at(routerHeap, n)
	stack, _, _, _ := c.at(routerStack, n)
	store, _, _, ok2 := c.at(storeMemory, targetUpstreams, targetTeams)
	if ok && ok2 {
		sum("memory in all, control", Line{
			Role: "router", Unit: "MB", Target: maxMemory, Mechanism: "live heap twice (GOGC 100), stacks, and the process at its start",
			Note: "sum of the figures above; without requests in flight", Change: "Fewer sessions, or a memory limit for the collector (`GOMEMLIMIT`), which costs processor time.", Breaks: fmt.Sprintf("%s sessions", number(math.Floor(n*(maxMemory-c.idle/megabyte-garbage*store)/(garbage*heap+stack)))),
		},
			garbage*(heap+store), stack, c.idle/megabyte)
	}
	idle, _, _, ok := c.at(routerBytes, n)
	gossip, _, _, ok2 := c.at(upLow, math.Log2(targetRouters), targetTickets)
	if ok && ok2 {
		sum("messages in all, control", Line{
			Role: "router", Unit: "B/s", Target: maxBytes, Mechanism: "idle sessions and anti-entropy",
			Note: "sum of the figures above; without prefixes in reports and without the platform's reads", Breaks: fmt.Sprintf("%s sessions", number(max(0, math.Floor(n*(maxBytes-gossip)/idle)))),
			Change: fmt.Sprintf("Half the pings and reports would leave %s B/s (computed).", number(idle/2+gossip)),
		}, idle, gossip)
	}
	work, _, _, ok := c.at(routerWork, n)
	peers, _, _, ok2 := c.at(allWork+"platform up", targetRouters, targetRouters*targetTickets)
	rebuild, _, _, ok3 := c.at("one rebuild of the control state", n)
	choice, _, _, _ := c.at("one choice of the subset", targetUpstreams, targetRouters)
	if ok && ok2 && ok3 {
		// A refresh, two exchanges and the host list each cause a rebuild.
		const rebuilds = 1 + 2 + 1/1.6
		sum("processor time in all, control", Line{
			Role: "router", Unit: "% of a core", Target: 100 * maxCPU, Mechanism: "sessions, anti-entropy, control goroutine",
			Note: "sum of the figures above",
		}, (work+peers/targetRouters+rebuilds*rebuild+targetTickets*(rebuild+choice))/1e4)
	}
	memory, _, _, ok := c.at(agentMemory, routers)
	if ok {
		sum("memory in all, control", Line{
			Role: "agent", Unit: "MB", Target: maxMemory, Mechanism: "sessions twice (GOGC 100) and the process at its start",
			Note: "without held results (bound 16 MB)",
		}, garbage*memory, c.idle/megabyte)
	}
	const dump = "state dump of a router"
	if size, se, note, ok := c.at(dump, n); ok {
		out = append(out, Line{
			Role: "operator's command", Quantity: "state dumps of all routers, read once", Value: size * targetRouters / 1e3, Err: se * targetRouters / 1e3, Unit: "MB",
			Mechanism: "one dump a router, on request; the command keeps no state and sends nothing at rest", Note: note,
		})
	}
	return out
}
