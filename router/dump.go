package router

import (
	"time"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/meter"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

// Dump is the state of a router, without secrets and callers' content.
type Dump struct {
	Name        wire.HostID       `json:"name"`
	Incarnation wire.Incarnation  `json:"incarnation"`
	Draining    bool              `json:"draining"`
	InFlight    int64             `json:"flight"`
	Objects     int               `json:"objects"`
	Head        wire.TicketNumber `json:"head"`
	Root        uint64            `json:"root"`
	Platform    *plat.Status      `json:"platform,omitempty"`
	Rejected    []admin.Rejection `json:"rejected"`
	Members     []Member          `json:"members"`
	Pools       []DumpPool        `json:"pools"`
	Peers       []wire.Address    `json:"peers"`
	Marks       []wire.Mark       `json:"marks"`
	Counts      []meter.Total     `json:"counts"`
	Control     ControlStats      `json:"control"`
}

// DumpPool is a pool's queue.
type DumpPool struct {
	Pool   wire.PoolID      `json:"pool"`
	Queued wire.Slots       `json:"queued"`
	Teams  []share.TeamView `json:"teams"`
}

// Dump implements proc.Dumper.
func (r *Router) Dump() any {
	s := r.snapshot.Load()
	digest := s.store.Digest()
	d := Dump{
		Name: r.cfg.Name, Incarnation: r.incarnation, Draining: r.draining.Load(), InFlight: r.inFlight.Load(),
		Objects: s.store.Len(), Head: digest.Head, Root: digest.Root, Rejected: s.rejected, Members: r.Members(),
		Peers: r.peerAddresses(), Marks: r.crashes.Marks(time.Now()), Counts: r.Totals(), Control: *r.control.stats.Load(),
	}
	if r.watcher != nil {
		st := r.watcher.Status()
		d.Platform = &st
	}
	for _, id := range s.poolIDs() {
		p := s.pools[id]
		d.Pools = append(d.Pools, DumpPool{id, p.queue.Len(), p.queue.View()})
	}
	return d
}
