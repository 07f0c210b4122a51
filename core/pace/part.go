package pace

import (
	"math"
	"time"
)

const (
	// heldLife is the time since its last use after which a part may have left the cache of
	// an engine.
	heldLife = 10 * time.Second
	// heldSize is the number of parts that are remembered, over all engines of a service. A
	// router sends some hundred requests in heldLife, with few parts each.
	heldSize = 1 << 12
)

// held remembers which parts the router has lately had which engine read. It is a cache with one
// place for each hash: an entry that is displaced counts as not held.
type held struct{ entries []heldPart }

type heldPart struct {
	hash uint64
	at   int64 // in Unix nanoseconds
}

// touch reports whether the part with the given hash is held, and records its use.
func (h *held) touch(now time.Time, hash uint64) bool {
	if h.entries == nil {
		h.entries = make([]heldPart, heldSize)
	}
	e := &h.entries[hash%heldSize]
	ok := e.hash == hash && now.Sub(time.Unix(0, e.at)) < heldLife
	*e = heldPart{hash, now.UnixNano()}
	return ok
}

const (
	// demandHalfLife is the half-life of the counts of prompts.
	demandHalfLife = 3 * time.Second
	// maxDemand bounds the prompts that are counted.
	maxDemand = 1024
	// minDemand is the decayed count of a prompt below which its share is not told from
	// chance.
	minDemand = 4
	// holderShare is the demand that one holder serves, as a part of the mean of an engine.
	// At a half, the second holder takes over before the first has more than its share.
	holderShare = 0.5
	// maxHolders bounds the holders of a part, which each have to read it.
	maxHolders = 4
)

// demand counts the prompts of a service by the key of their shared parts.
type demand struct {
	counts    map[uint64]float64
	total     float64
	decayedAt time.Time
}

func (d *demand) holders(now time.Time, key uint64, engines int) int {
	d.decay(now)
	d.total++
	if n, ok := d.counts[key]; ok || len(d.counts) < maxDemand {
		d.counts[key] = n + 1
	}
	return d.holdersOf(key, engines)
}

// holdersOf returns how many engines should hold the parts of a prompt with the given key.
func (d *demand) holdersOf(key uint64, engines int) int {
	n := d.counts[key]
	if n < minDemand {
		return 1
	}
	return min(max(int(math.Ceil(n/d.total*float64(engines)/holderShare)), 1), maxHolders)
}

// decay halves all counts in each demandHalfLife and drops those that are not in demand.
func (d *demand) decay(now time.Time) {
	switch {
	case d.counts == nil:
		d.counts, d.decayedAt = map[uint64]float64{}, now
	case now.Sub(d.decayedAt) >= demandHalfLife:
		f := math.Exp2(-float64(now.Sub(d.decayedAt)) / float64(demandHalfLife))
		for k, n := range d.counts {
			if n *= f; n < 0.5 {
				delete(d.counts, k)
				continue
			}
			d.counts[k] = n
		}
		d.total *= f
		d.decayedAt = now
	}
}
