package agent

import (
	"errors"
	"slices"
	"strings"
	"time"

	"hornbeamcove.example/core/meter"
	"hornbeamcove.example/core/wire"
)

// maxDumpedCalls limits the number of calls listed in a dump.
const maxDumpedCalls = 256

// Dump is the state of an agent. It contains no content of requests or answers.
type Dump struct {
	Upstream    wire.UpstreamID  `json:"upstream"`
	Incarnation wire.Incarnation `json:"incarnation"`
	Report      *wire.Report     `json:"report"`
	Objects     []wire.Object    `json:"objects"`
	Confirmed   time.Time        `json:"confirmed"` // when a router last sent the configuration; zero after a pause
	Ordered     Order            `json:"ordered"`   // last order that the engine accepted
	Sessions    []DumpSession    `json:"sessions"`
	Calls       []DumpCall       `json:"calls"`
	More        int              `json:"more"` // calls beyond those listed
	Held        int              `json:"held"` // calls in the held table
	Tokens      DumpTokens       `json:"tokens"`
	Counts      []meter.Total    `json:"counts"`
}

// DumpSession describes the session of one router.
type DumpSession struct {
	Router wire.HostID `json:"router"`
	Epoch  wire.Epoch  `json:"epoch"`
}

// DumpCall describes a call under way. Left is the time until its deadline.
type DumpCall struct {
	wire.Ref
	Team     wire.TeamID     `json:"team"`
	Pipeline wire.PipelineID `json:"pipeline"`
	Left     wire.Millis     `json:"left"`
}

// DumpTokens counts the tokens of non-repeatable calls by state: unused, of a
// running call, and with a stored result.
type DumpTokens struct {
	Unused  int `json:"unused"`
	Running int `json:"running"`
	Results int `json:"results"`
}

// Dump implements proc.Dumper and returns a Dump.
func (a *Agent) Dump() any {
	s := a.state.Load()
	d := Dump{
		Upstream: a.cfg.Upstream, Incarnation: a.incarnation, Report: a.report(), Confirmed: s.confirmedAt, Ordered: s.lastOrder,
		Counts: a.Totals(),
	}
	for _, o := range s.objects() {
		d.Objects = append(d.Objects, *o)
	}
	d.Held, _ = a.held.Size()
	d.Tokens.Unused, d.Tokens.Running, d.Tokens.Results = a.callTokens.Len()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ss := range a.sessions {
		d.Sessions = append(d.Sessions, DumpSession{ss.Peer().Name, ss.Peer().Epoch})
	}
	for _, r := range a.runs {
		d.Calls = append(d.Calls, DumpCall{r.call.Ref, r.call.Team, r.call.Pipeline, wire.Millis(time.Until(r.deadline) / time.Millisecond)})
	}
	slices.SortFunc(d.Sessions, func(x, y DumpSession) int { return strings.Compare(string(x.Router), string(y.Router)) })
	slices.SortFunc(d.Calls, func(x, y DumpCall) int { return strings.Compare(string(x.Request), string(y.Request)) })
	if n := len(d.Calls) - maxDumpedCalls; n > 0 {
		d.Calls, d.More = d.Calls[:maxDumpedCalls], n
	}
	return d
}

// Ready returns an error while routers should not send calls to this agent: while
// it refuses them, has no configuration, or has no report from the upstream.
func (a *Agent) Ready() error {
	s := a.state.Load()
	if reason := refusalReason(s); reason != "" {
		return errors.New(string(reason))
	}
	if s.upstream == nil {
		return errors.New("no configuration from a router yet")
	}
	if a.bootID.Load() == nil {
		return errors.New("no report from the upstream yet")
	}
	return nil
}
