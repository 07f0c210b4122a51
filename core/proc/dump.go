package proc

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/sourcegraph/conc/panics"
)

// Dumper describes the state of a component. Dump is called from any goroutine
// and returns a copy that encoding/json can write.
type Dumper interface {
	Dump() any
}

// DumpFunc is a function that is a Dumper.
type DumpFunc func() any

// Dump implements Dumper.
func (f DumpFunc) Dump() any { return f() }

type dumpers struct {
	mu  sync.Mutex
	all map[string]Dumper
}

// AddDumper adds a component to the state dump; a second one of the same name
// replaces the first.
func (p *Process) AddDumper(name string, d Dumper) {
	p.dumpers.mu.Lock()
	defer p.dumpers.mu.Unlock()
	if p.dumpers.all == nil {
		p.dumpers.all = make(map[string]Dumper)
	}
	p.dumpers.all[name] = d
}

// Dump returns the state of the process and its components as JSON, by component.
// A component that panics or cannot be written is replaced by its error.
func (p *Process) Dump() map[string]json.RawMessage {
	p.dumpers.mu.Lock()
	all := maps.Clone(p.dumpers.all)
	p.dumpers.mu.Unlock()
	out := make(map[string]json.RawMessage, len(all)+1)
	for name, d := range all {
		out[name] = dump(d)
	}
	out["process"] = dump(DumpFunc(p.processState))
	return out
}

func dump(d Dumper) json.RawMessage {
	var text []byte
	var err error
	if r := panics.Try(func() { text, err = json.Marshal(d.Dump()) }); r != nil {
		err = r.AsError()
	}
	if err != nil {
		text, _ = json.Marshal(map[string]string{"error": err.Error()})
	}
	return text
}

func (p *Process) processState() any {
	return map[string]any{
		"draining": p.Draining(),
		"ready":    p.ready.failures(),
		"health":   p.health.failures(),
		"series":   p.metrics.series.stats(),
	}
}

func (p *Process) logDump() {
	p.log.Info("state dump", "state", p.Dump())
}
