package route

import (
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

// Holder chooses among model engines so that prompts that share parts meet at the
// same engine, whose prefix cache then holds these parts. It answers two loads:
// many subjects with long shared parts, and one subject that draws much of the
// traffic at once.

const (
	// loadFactor and loadSlack bound the load of a prompt's preferred engine:
	// its work may exceed the mean by this factor plus as many typical requests.
	loadFactor = 1.3
	loadSlack  = 3
)

// Engine is a model engine that may receive a request.
type Engine struct {
	Upstream wire.UpstreamID
	Load     float64 // work given and not finished, in typical requests
	Penalty  float64 // for recent failures and slow answers, in typical requests
	// Weight is the part of the prompts that prefer the engine, relative to the
	// others; 0 counts as 1. It is low where the results that requests read are
	// made by few upstreams nearby.
	Weight float64
}

// PromptKey is the hash of the shared parts of a prompt.
func PromptKey(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(strconv.Itoa(len(p)))
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}

// PickEngine returns the index of the engine for a prompt: the first in the order of
// rendezvous hashing by key whose work is not far above the mean, or else the one
// with the least work. It returns -1 for no engines.
func PickEngine(key uint64, es []Engine) int {
	if len(es) == 0 {
		return -1
	}
	mean := 0.0
	for _, e := range es {
		mean += e.Load
	}
	mean /= float64(len(es))
	bound := loadFactor*mean + loadSlack
	least := 0
	for _, i := range RendezvousOrder(key, es) {
		e := &es[i]
		if e.Load+e.Penalty <= bound {
			return i
		}
		if e.Load+e.Penalty < es[least].Load+es[least].Penalty {
			least = i
		}
	}
	return least
}

// RendezvousOrder returns the indices of the engines by weighted rendezvous hash, the highest
// first.
func RendezvousOrder(key uint64, es []Engine) []int {
	weights := make([]float64, len(es))
	order := make([]int, len(es))
	for i, e := range es {
		h := rendezvousHash(key, xxhash.Sum64String(string(e.Upstream)))
		// The logarithmic method: -w/ln(u) for u uniform between 0 and 1.
		u := (float64(h>>11) + 0.5) / (1 << 53)
		w := e.Weight
		if w <= 0 {
			w = 1
		}
		weights[i] = -w / math.Log(u)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case weights[a] > weights[b]:
			return -1
		case weights[a] < weights[b]:
			return 1
		}
		return a - b
	})
	return order
}

// Owner returns the name with the highest rendezvous hash for key, which every
// process that knows the same names agrees on. It is empty for no names.
func Owner(key string, names []wire.HostID) (owner wire.HostID) {
	sum := xxhash.Sum64String(key)
	var best uint64
	for _, n := range names {
		w := rendezvousHash(sum, xxhash.Sum64String(string(n)))
		if owner == "" || w > best || w == best && n < owner {
			owner, best = n, w
		}
	}
	return owner
}
