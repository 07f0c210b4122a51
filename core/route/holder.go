package route

import (
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

// Model engines are chosen by rendezvous hashing with bounded loads. Prompts that
// share segments go to the same engine, whose prefix cache then holds these segments;
// this serves traffic over many subjects with long shared segments. The bound keeps a
// single subject that attracts much of the traffic from overloading one engine.

const (
	// loadFactor and loadSlack bound the load of a prompt's preferred engine to
	// loadFactor times the mean load plus loadSlack typical requests.
	loadFactor = 1.3
	loadSlack  = 3
)

// Engine is a model engine that may receive a request.
type Engine struct {
	Upstream wire.UpstreamID
	Load     float64 // outstanding work, in typical requests
	Penalty  float64 // extra load for recent failures and slow responses, in typical requests
	// Weight is the share of prompts that prefer the engine, relative to the other
	// engines; 0 counts as 1. It is low where few upstreams near the engine produce
	// the results that its requests read.
	Weight float64
}

// PromptKey returns the hash of the shared segments of a prompt. Each is hashed
// with its length, so that different divisions of one text give different keys.
func PromptKey(segments ...string) uint64 {
	d := xxhash.New()
	for _, p := range segments {
		_, _ = d.WriteString(strconv.Itoa(len(p)))
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}

// PickEngine returns the index of the engine for the prompt with the given key: the
// first in rendezvous order whose load plus penalty is within the bound or, if there
// is none, the one with the lowest load plus penalty. It returns -1 if es is empty.
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

// RendezvousOrder returns the indices of the engines in descending order of their
// weighted rendezvous hash for key.
func RendezvousOrder(key uint64, es []Engine) []int {
	scores := make([]float64, len(es))
	order := make([]int, len(es))
	for i, e := range es {
		h := rendezvousHash(key, xxhash.Sum64String(string(e.Upstream)))
		// Logarithmic method of weighted rendezvous hashing: -w/ln(u), with u
		// uniform between 0 and 1.
		u := (float64(h>>11) + 0.5) / (1 << 53)
		weight := e.Weight
		if weight <= 0 {
			weight = 1
		}
		scores[i] = -weight / math.Log(u)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case scores[a] > scores[b]:
			return -1
		case scores[a] < scores[b]:
			return 1
		}
		return a - b
	})
	return order
}

// Rank returns the place of name among names in descending order of their rendezvous hash
// for key, from 0 on. Processes that know the same names agree on it. It returns -1 if name
// is not among them.
func Rank(key string, names []wire.HostID, name wire.HostID) (rank int) {
	if !slices.Contains(names, name) {
		return -1
	}
	keyHash := xxhash.Sum64String(key)
	own := rendezvousHash(keyHash, xxhash.Sum64String(string(name)))
	for _, n := range names {
		h := rendezvousHash(keyHash, xxhash.Sum64String(string(n)))
		if h > own || h == own && n < name {
			rank++
		}
	}
	return rank
}

// Owner returns the name with the highest rendezvous hash for key. Processes that
// know the same names agree on the owner. It returns "" if names is empty.
func Owner(key string, names []wire.HostID) (owner wire.HostID) {
	keyHash := xxhash.Sum64String(key)
	var best uint64
	for _, n := range names {
		h := rendezvousHash(keyHash, xxhash.Sum64String(string(n)))
		if owner == "" || h > best || h == best && n < owner {
			owner, best = n, h
		}
	}
	return owner
}
