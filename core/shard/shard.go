// Package shard divides the upstreams of a stage service among several queues, assigns
// each queue to a router, and chooses the queue that takes an order. It does no I/O.
//
// It answers the load of fleets with dozens of routers: the owner of a single queue would
// carry the stage calls of all requests of all routers, and its processor and its link
// would limit the whole fleet. A service with few upstreams keeps one queue, because one
// queue fills calls best.
package shard

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const (
	// maxUndivided is the number of upstreams up to which a service has a single queue.
	maxUndivided = 24
	// maxShard is the number of upstreams above which the upstreams of one data centre are
	// divided further.
	maxShard = 12
	// minShard is the number of upstreams below which those of a data centre join the
	// queue that several data centres share.
	minShard = 4
)

// ID identifies one queue of a stage service. A service that is not divided has one queue,
// whose ID has only the service.
type ID struct {
	Service fleet.ServiceID
	Centre  wire.DataCentreID // data centre of the upstreams; empty if they are in several
	Index   int               // distinguishes the queues of one data centre
}

// String returns the ID in the form that logs and state dumps show: the service, and for a
// queue of a divided service its data centre and index.
func (id ID) String() string {
	if id.Centre == "" {
		return string(id.Service)
	}
	return string(id.Service) + "/" + string(id.Centre) + "/" + strconv.Itoa(id.Index)
}

// MarshalText implements encoding.TextMarshaler, so that an ID can be a key in JSON.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Index, b.Index))
}

// Shard is one queue of a service and the upstreams that take its calls.
type Shard struct {
	ID        ID
	Upstreams []fleet.Upstream
}

// Divide divides the upstreams of a service among queues, sorted by ID. Routers that know
// the same upstreams agree on the result, and an upstream that comes or goes moves no other
// one unless it changes the number of queues of its data centre. There is always at least
// one queue.
func Divide(service fleet.ServiceID, us []fleet.Upstream) []Shard {
	if len(us) <= maxUndivided {
		return []Shard{{ID{Service: service}, us}}
	}
	byCentre := map[wire.DataCentreID][]fleet.Upstream{}
	for _, u := range us {
		byCentre[u.Centre] = append(byCentre[u.Centre], u)
	}
	byID := map[ID][]fleet.Upstream{}
	for c, cus := range byCentre {
		n := (len(cus) + maxShard - 1) / maxShard
		if len(cus) < minShard {
			c = ""
		}
		for _, u := range cus {
			id := ID{service, c, pickIndex(u.ID, n)}
			byID[id] = append(byID[id], u)
		}
	}
	var out []Shard
	for _, id := range slices.SortedFunc(maps.Keys(byID), compareIDs) {
		out = append(out, Shard{id, byID[id]})
	}
	return out
}

// pickIndex returns the queue of an upstream among n by rendezvous hashing.
func pickIndex(id wire.UpstreamID, n int) (best int) {
	var most uint64
	for i := range n {
		if h := xxhash.Sum64String(string(id) + "/" + strconv.Itoa(i)); h > most {
			best, most = i, h
		}
	}
	return best
}

// Router is a router that may own queues.
type Router struct {
	Name   wire.HostID
	Centre wire.DataCentreID
	CPU    float64 // processor share in cores; 0 if unknown
}

// Assign returns the owner of each queue. Routers that know the same queues and routers
// agree on it. A queue of a divided service goes to a router in its data centre if there is
// one, other queues to any router: to the one that then owns the fewest queues for its
// processor share. Queues of whole services come first, because they are the largest.
func Assign(ids []ID, routers []Router) map[ID]wire.HostID {
	owners := make(map[ID]wire.HostID, len(ids))
	owned := make(map[wire.HostID]int, len(routers))
	byCentre := map[wire.DataCentreID][]Router{}
	for _, r := range routers {
		byCentre[r.Centre] = append(byCentre[r.Centre], r)
	}
	undividedFirst := func(a, b ID) int { return cmp.Or(cmp.Compare(a.Centre, b.Centre), compareIDs(a, b)) }
	for _, id := range slices.SortedFunc(slices.Values(ids), undividedFirst) {
		candidates := byCentre[id.Centre]
		if len(candidates) == 0 {
			candidates = routers
		}
		if len(candidates) == 0 {
			continue
		}
		best := slices.MinFunc(candidates, func(a, b Router) int {
			return cmp.Or(
				cmp.Compare(float64(owned[a.Name]+1)/a.cpu(), float64(owned[b.Name]+1)/b.cpu()),
				cmp.Compare(preference(id, b.Name), preference(id, a.Name)), cmp.Compare(a.Name, b.Name))
		})
		owners[id] = best.Name
		owned[best.Name]++
	}
	return owners
}

// cpu returns the processor share of the router, one core if it is unknown.
func (r Router) cpu() float64 {
	if r.CPU <= 0 {
		return 1
	}
	return r.CPU
}

// preference returns the rendezvous hash of a queue and a router.
func preference(id ID, name wire.HostID) uint64 {
	return xxhash.Sum64String(id.String() + " " + string(name))
}

// Candidate is a queue that may take an order.
type Candidate struct {
	ID   ID
	Wait time.Duration // expected queueing time, as last reported
}

// Choose returns the index of the queue for an order whose results are read in centre, or
// -1 if there is no candidate. It is a queue of that data centre, or of several, unless a
// queue elsewhere has a wait that is shorter by more than detour. Of the queues on either
// side it compares two drawn at random, because the waits are old and the routers would
// otherwise all choose the same one. draw returns a random number below n.
func Choose(cs []Candidate, centre wire.DataCentreID, detour time.Duration, draw func(n int) int) int {
	var near, far []int
	for i, c := range cs {
		if c.ID.Centre == centre || c.ID.Centre == "" {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	a, b := shorterOfTwo(cs, near, draw), shorterOfTwo(cs, far, draw)
	if a < 0 || b >= 0 && cs[a].Wait > cs[b].Wait+detour {
		return b
	}
	return a
}

// shorterOfTwo draws two of the given candidates and returns the one with the shorter wait,
// or -1 if there is none.
func shorterOfTwo(cs []Candidate, among []int, draw func(n int) int) int {
	switch len(among) {
	case 0:
		return -1
	case 1:
		return among[0]
	}
	i := draw(len(among))
	j := (i + 1 + draw(len(among)-1)) % len(among)
	if cs[among[j]].Wait < cs[among[i]].Wait {
		i = j
	}
	return among[i]
}
