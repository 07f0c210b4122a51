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
	// loadFactor times the mean load plus loadSlack typical requests. knownFactor and
	// knownSlack take their place where the load is that of all routers: loadSlack requests of
	// each of many routers would fill an engine.
	loadFactor, loadSlack   = 1.3, 3.0
	knownFactor, knownSlack = 1.15, 2.0
	// sameLoad is the difference of load in requests up to which two upstreams count as
	// equal, because other routers may have sent so much since.
	sameLoad = 1
	// maxHolders bounds the holders among which PickHolder chooses.
	maxHolders = 4
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
	// Factor is the time that work takes at the engine now, relative to a usual engine; 0
	// counts as 1.
	Factor float64
}

// wait returns the load of the engine in requests of a usual engine: what a request waits
// for there, without its own work at a usual engine.
func (e *Engine) wait() float64 {
	if e.Factor == 0 {
		return e.Load
	}
	return e.Factor*(1+e.Load) - 1
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

// Demand is what PickHolder knows beside the engines. The zero value is a prompt in ordinary
// demand and loads that are of this router's requests alone.
type Demand struct {
	Holders int // engines that should hold the prompt's parts, at most 4; 0 counts as 1
	// Shared is the work, in typical requests, of reading the shared parts again at an engine that
	// doesn't hold them. The first holder's load may be above the bound by as much.
	Shared float64
	// Confidence is how far the loads include the requests of other routers, between 0 and 1.
	Confidence float64
	Draw       float64 // random number in [0, 1)
}

// Reason is why an upstream was chosen.
type Reason string

// Reasons for a choice.
const (
	ReasonHolder       Reason = "holder"        // it is the first that holds the prompt's parts
	ReasonSecondHolder Reason = "second holder" // the parts are in demand and it has less to do
	ReasonSpill        Reason = "spill"         // the holder has too much to do
	ReasonLeastLoad    Reason = "least load"    // it has the least to do
	ReasonNearLeast    Reason = "near least"    // one of two that have equally little to do
)

// PickEngine returns the index of the engine for a prompt in ordinary demand with the given
// key, see PickHolder.
func PickEngine(key uint64, es []Engine) int {
	i, _ := PickHolder(key, es, Demand{})
	return i
}

// PickHolder returns the index of the engine for the prompt with the given key: the first in
// rendezvous order whose load plus penalty is within the bound or, if there is none, the one
// with the lowest load plus penalty. For a prompt in demand it is the first of its holders
// within the bound that has not clearly more to do than another one of them. The index is -1
// if es is empty.
func PickHolder(key uint64, es []Engine, d Demand) (index int, reason Reason) {
	if len(es) == 0 {
		return -1, ""
	}
	mean := 0.0
	for i := range es {
		mean += es[i].wait()
	}
	mean /= float64(len(es))
	bound := (loadFactor+d.Confidence*(knownFactor-loadFactor))*mean + loadSlack + d.Confidence*(knownSlack-loadSlack)

	var top [maxHolders]scored // within the bound, in descending order of their scores
	n := min(max(d.Holders, 1), maxHolders)
	found := 0
	first := scored{index: -1}
	least := leastTwo{first: -1, second: -1}
	for i := range es {
		e := &es[i]
		cost := e.wait() + e.Penalty
		least.add(i, cost)
		c := scored{i, e.score(key), cost}
		if c.before(first) {
			first = c
		}
		if cost > bound || found == n && !c.before(top[found-1]) {
			continue
		}
		found = min(found+1, n)
		at := found - 1
		for ; at > 0 && c.before(top[at-1]); at-- {
			top[at] = top[at-1]
		}
		top[at] = c
	}
	if first.cost <= bound+d.Shared && (found == 0 || top[0] != first) {
		copy(top[1:], top[:maxHolders-1])
		top[0], found = first, min(found+1, n)
	}
	if found == 0 {
		return least.pick(sameLoad*d.Confidence, d.Draw)
	}
	chosen := top[0]
	for _, c := range top[1:found] {
		if c.cost < chosen.cost-sameLoad {
			chosen = c
		}
	}
	switch {
	case chosen.index == first.index:
		return chosen.index, ReasonHolder
	case chosen.index == top[0].index:
		return chosen.index, ReasonSpill
	}
	return chosen.index, ReasonSecondHolder
}

// scored is an engine with its score in rendezvous hashing and its load plus penalty.
type scored struct {
	index       int
	score, cost float64
}

// before reports whether c comes before o in rendezvous order. An index below 0 comes last.
func (c scored) before(o scored) bool {
	return o.index < 0 || c.score > o.score || c.score == o.score && c.index < o.index
}

// score returns the weighted rendezvous hash of the engine for key.
func (e *Engine) score(key uint64) float64 {
	h := rendezvousHash(key, xxhash.Sum64String(string(e.Upstream)))
	// Logarithmic method of weighted rendezvous hashing: -w/ln(u), with u
	// uniform between 0 and 1.
	u := (float64(h>>11) + 0.5) / (1 << 53)
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(u)
}

// RendezvousOrder returns the indices of the engines in descending order of their
// weighted rendezvous hash for key.
func RendezvousOrder(key uint64, es []Engine) []int {
	scores := make([]float64, len(es))
	order := make([]int, len(es))
	for i := range es {
		scores[i] = es[i].score(key)
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
