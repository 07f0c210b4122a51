package bench

import (
	"fmt"
	"math"
	"strings"
)

// lines derives the figures at the target size from the series that were
// measured.
func (c *capacity) lines() (out []Line) {
	for _, part := range []func() []Line{
		c.storeLines, c.controlLines, c.sessionLines, c.agentLines, c.gossipLines, c.readLines, c.trafficLines, c.totalLines,
	} {
		out = append(out, part()...)
	}
	return out
}

// at returns a series' value at a size, its standard error and a note on the
// extrapolation; ok is false when the series was not measured.
func (c *capacity) at(name string, x ...float64) (y, se float64, note string, ok bool) {
	s := c.find(name)
	if s == nil {
		return 0, 0, "", false
	}
	f, err := s.Fit()
	if err != nil {
		return 0, 0, "", false
	}
	y, se = f.At(x...)
	note = s.Beyond(x...)
	if there, ok := s.Measured(x...); ok {
		note = fmt.Sprintf("no: measured there, %s %s", number(there), s.Unit)
	}
	return y, se, note, true
}

// reach describes the size at which a series reaches y.
func (c *capacity) reach(name string, y float64, v int, x ...float64) string {
	s := c.find(name)
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
	text := fmt.Sprintf("%s %s", number(size), s.Vars[v])
	if beyond := size / s.Most()[v]; beyond > 1 {
		text += fmt.Sprintf(" (%sx the largest measured)", number(beyond))
	}
	return text
}

func (c *capacity) storeLines() (out []Line) {
	x := []float64{targetUpstreams, targetTeams}
	add := func(series, quantity string, l Line) {
		var ok bool
		if l.Value, l.Err, l.Note, ok = c.at(series, x...); ok {
			l.Role, l.Quantity = "router", quantity
			out = append(out, l)
		}
	}
	const objects = "20,000 objects (bound of the store, refused beyond)"
	add("memory of the ticket store", "state: ticket store", Line{
		Unit: "MB", Target: maxMemory,
		Mechanism: "immutable store, 64 buckets", Breaks: objects,
	})
	add("applying one ticket", "one ticket applied", Line{
		Unit:      "µs",
		Mechanism: "copy of one bucket and of the list of its kind", Breaks: objects,
	})
	add("merging a whole configuration", "whole configuration merged (start)", Line{
		Unit: "ms", Target: maxForce * 1e3,
		Mechanism: "check of each object against the schema", Breaks: c.reach("merging a whole configuration", maxForce*1e3, 0, x...),
	})
	add("computing a digest", "digest", Line{Unit: "µs", Mechanism: "one sum a bucket, kept up to date", Breaks: "none: it does not grow with the objects"})
	return out
}

func (c *capacity) controlLines() (out []Line) {
	rebuild, rebuildErr, rebuildNote, ok := c.at("one rebuild of the control state", float64(c.mostSessions))
	if !ok {
		return nil
	}
	choice, choiceErr, note, _ := c.at("one choice of the subset", targetUpstreams, targetRouters)
	out = append(out,
		Line{
			Role: "router", Quantity: "one rebuild", Value: rebuild, Err: rebuildErr, Unit: "µs", Note: rebuildNote,
			Mechanism: "control goroutine; one pass over its sessions and pools",
		},
		Line{
			Role: "router", Quantity: "one choice of the subset", Value: choice, Err: choiceErr, Unit: "µs", Note: note,
			Mechanism: "rendezvous hash of each upstream with the routers of its region",
		},
		Line{
			Role: "router", Quantity: "most sessions of a router", Value: float64(c.mostSessions), Unit: "sessions", Target: 256,
			Mechanism: "deterministic subsets, bounded (`router.Subset`)", Note: "computed, not measured",
		},
		Line{
			Role: "agent", Quantity: "most routers of an agent", Value: float64(c.mostRouters), Unit: "sessions",
			Mechanism: "the same subsets, seen from the agent", Note: "computed, not measured",
		})
	apply, applyErr, _, ok := c.at("applying one ticket", targetUpstreams, targetTeams)
	if !ok {
		return out
	}
	// Each ticket causes an application, a choice when it names an upstream or a
	// data centre, and a rebuild; one more rebuild comes each second.
	each := apply + choice + rebuild
	cpu := (targetTickets*each + rebuild) / 1e6
	most := (maxCPU*1e6 - rebuild) / each
	return append(out, Line{
		Role: "router", Quantity: "control goroutine, tickets and refresh", Value: 100 * cpu,
		Err:  100 * (targetTickets*(applyErr+choiceErr+rebuildErr) + rebuildErr) / 1e6,
		Unit: "% of a core", Target: 100 * maxCPU, Note: note, Mechanism: "one goroutine; a burst of tickets shares one rebuild",
		Breaks: fmt.Sprintf("%s tickets a second, each with its own rebuild", number(most)),
	})
}

func join(notes ...string) string {
	var out []string
	for _, n := range notes {
		if n != "" {
			out = append(out, n)
		}
	}
	return strings.Join(out, "; ")
}
