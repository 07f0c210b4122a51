package bench

import (
	"fmt"
	"math"
	"strings"
)

// rows derives the figures at the target size from the measured series.
func (c *capacityRun) rows() (out []Row) {
	for _, derive := range []func() []Row{
		c.storeRows, c.controlRows, c.sessionRows, c.agentRows, c.gossipRows, c.readRows, c.trafficRows, c.totalRows,
	} {
		out = append(out, derive()...)
	}
	return out
}

// extrapolate returns the fitted value of a series at x, its standard error and a note
// that compares x with the measured sizes; ok is false when the series was not measured
// or has no fit.
func (c *capacityRun) extrapolate(name string, x ...float64) (y, stdErr float64, note string, ok bool) {
	s := c.seriesByName(name)
	if s == nil {
		return 0, 0, "", false
	}
	f, err := s.Fit()
	if err != nil {
		return 0, 0, "", false
	}
	y, stdErr = f.At(x...)
	note = s.Extrapolation(x...)
	if measured, ok := s.MeasuredAt(x...); ok {
		note = fmt.Sprintf("no: measured there, %s %s", formatNumber(measured), s.Unit)
	}
	return y, stdErr, note, true
}

// breaksAt describes the size of variable v at which a series reaches y while its
// other variables are as in x.
func (c *capacityRun) breaksAt(name string, y float64, v int, x ...float64) string {
	s := c.seriesByName(name)
	if s == nil {
		return ""
	}
	f, err := s.Fit()
	if err != nil {
		return ""
	}
	size := f.Reach(y, v, x...)
	if math.IsInf(size, 1) {
		return "no growth measured"
	}
	if size < 0 {
		return "any size"
	}
	text := fmt.Sprintf("%s %s", formatNumber(size), s.Vars[v])
	if ratio := size / s.MaxSizes()[v]; ratio > 1 {
		text += fmt.Sprintf(" (%sx the largest measured)", formatNumber(ratio))
	}
	return text
}

// storeRows derives the rows of the ticket store.
func (c *capacityRun) storeRows() (out []Row) {
	x := []float64{targetUpstreams, targetTeams}
	add := func(series, quantity string, row Row) {
		var ok bool
		if row.Value, row.StdErr, row.Note, ok = c.extrapolate(series, x...); ok {
			row.Role, row.Quantity = "router", quantity
			out = append(out, row)
		}
	}
	const objects = "20,000 objects (bound of the store, refused beyond)"
	add("memory of the ticket store", "state: ticket store", Row{
		Unit: "MB", Target: maxMemory,
		Mechanism: "immutable store, 64 buckets", BreaksAt: objects,
	})
	add("applying one ticket", "one ticket applied", Row{
		Unit:      "µs",
		Mechanism: "copy of one bucket and of the list of its kind", BreaksAt: objects,
	})
	add("merging a whole configuration", "whole configuration merged (start)", Row{
		Unit: "ms", Target: maxInForceTime * 1e3,
		Mechanism: "check of each object against the schema", BreaksAt: c.breaksAt("merging a whole configuration", maxInForceTime*1e3, 0, x...),
	})
	add("computing a digest", "digest", Row{Unit: "µs", Mechanism: "one sum a bucket, kept up to date", BreaksAt: "none: it does not grow with the objects"})
	return out
}

// controlRows derives the rows of the router's control goroutine and of the subsets.
func (c *capacityRun) controlRows() (out []Row) {
	rebuild, rebuildStdErr, rebuildNote, ok := c.extrapolate("one rebuild of the control state", float64(c.maxRouterSessions))
	if !ok {
		return nil
	}
	subset, subsetStdErr, subsetNote, _ := c.extrapolate("one choice of the subset", targetUpstreams, targetRouters)
	out = append(out,
		Row{
			Role: "router", Quantity: "one rebuild", Value: rebuild, StdErr: rebuildStdErr, Unit: "µs", Note: rebuildNote,
			Mechanism: "control goroutine; one pass over its sessions and pools",
		},
		Row{
			Role: "router", Quantity: "one choice of the subset", Value: subset, StdErr: subsetStdErr, Unit: "µs", Note: subsetNote,
			Mechanism: "rendezvous hash of each upstream with the routers of its region",
		},
		Row{
			Role: "router", Quantity: "most sessions of a router", Value: float64(c.maxRouterSessions), Unit: "sessions", Target: 256,
			Mechanism: "deterministic subsets, bounded (`router.Subset`)", Note: "computed, not measured",
		},
		Row{
			Role: "agent", Quantity: "most routers of an agent", Value: float64(c.maxAgentRouters), Unit: "sessions",
			Mechanism: "the same subsets, seen from the agent", Note: "computed, not measured",
		})
	apply, applyStdErr, _, ok := c.extrapolate("applying one ticket", targetUpstreams, targetTeams)
	if !ok {
		return out
	}
	// Each ticket is applied, causes a rebuild and, when it names an upstream or a data
	// centre, a new subset. The refresh adds one rebuild per second.
	perTicket := apply + subset + rebuild
	cpu := (targetTicketRate*perTicket + rebuild) / 1e6
	maxTicketRate := (maxControlCPU*1e6 - rebuild) / perTicket
	return append(out, Row{
		Role: "router", Quantity: "control goroutine, tickets and refresh", Value: 100 * cpu,
		StdErr: 100 * (targetTicketRate*(applyStdErr+subsetStdErr+rebuildStdErr) + rebuildStdErr) / 1e6,
		Unit:   "% of a core", Target: 100 * maxControlCPU, Note: subsetNote, Mechanism: "one goroutine; a burst of tickets shares one rebuild",
		BreaksAt: fmt.Sprintf("%s tickets a second, each with its own rebuild", formatNumber(maxTicketRate)),
	})
}

// joinNotes joins the notes that are not empty.
func joinNotes(notes ...string) string {
	var out []string
	for _, n := range notes {
		if n != "" {
			out = append(out, n)
		}
	}
	return strings.Join(out, "; ")
}
