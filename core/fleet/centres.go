package fleet

import (
	"maps"
	"time"

	"hornbeamcove.example/core/wire"
)

// Centres holds the data centres that the operator has taken out of service. It is not safe
// for concurrent use.
type Centres struct {
	out  map[wire.DataCentreID]bool // as the store has it
	held map[wire.DataCentreID]HeldCentre
}

// HeldCentre is the state of a data centre that differs from the one in a restored store,
// until the operator has written again or the time is over.
type HeldCentre struct {
	Out   bool
	Until time.Time
}

// NewCentres returns Centres with all data centres in service.
func NewCentres() *Centres {
	return &Centres{out: make(map[wire.DataCentreID]bool), held: make(map[wire.DataCentreID]HeldCentre)}
}

// Set records a change that the operator wrote.
func (c *Centres) Set(id wire.DataCentreID, out bool) {
	delete(c.held, id)
	if out {
		c.out[id] = true
	} else {
		delete(c.out, id)
	}
}

// Restored replaces the state by the listing of a restored store: the revision at which each
// data centre was taken out. known is the revision that had been read before. Where the
// listing contradicts what is known it may be out of date, and the known state holds for
// LapseGrace unless the operator writes again before.
func (c *Centres) Restored(now time.Time, listed map[wire.DataCentreID]Revision, known Revision) {
	before := c.Out(now)
	c.out = make(map[wire.DataCentreID]bool, len(listed))
	held := make(map[wire.DataCentreID]HeldCentre)
	for id, at := range listed {
		c.out[id] = true
		if !before[id] && at <= known { // a later one was not known before the restore
			held[id] = HeldCentre{Out: false, Until: now.Add(LapseGrace)}
		}
	}
	for id := range before {
		if !c.out[id] {
			held[id] = HeldCentre{Out: true, Until: now.Add(LapseGrace)}
		}
	}
	c.held = held
}

// Out returns the data centres that are out of service.
func (c *Centres) Out(now time.Time) map[wire.DataCentreID]bool {
	out := maps.Clone(c.out)
	for id, h := range c.held {
		switch {
		case !now.Before(h.Until):
			delete(c.held, id)
		case h.Out:
			out[id] = true
		default:
			delete(out, id)
		}
	}
	return out
}

// Held returns the data centres whose state differs from that in the restored store.
func (c *Centres) Held(now time.Time) map[wire.DataCentreID]HeldCentre {
	c.Out(now) // drops those whose time is over
	return maps.Clone(c.held)
}

// Learn adds the held state of another router that has read the store as far as this one.
func (c *Centres) Learn(held map[wire.DataCentreID]HeldCentre) {
	for id, h := range held {
		if _, ok := c.held[id]; !ok && c.out[id] != h.Out {
			c.held[id] = h
		}
	}
}
