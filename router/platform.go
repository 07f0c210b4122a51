package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/wire"
)

// Platform is what a router reads: tickets and the host list.
type Platform interface {
	plat.Source
	Hosts(ctx context.Context) (hosts []plat.Host, dropped int, err error)
}

const (
	// hostsInterval is kept well under the 4 s in which a leaving host must stop
	// receiving work; 370 routers make 250 such reads a second.
	hostsInterval = 1500 * time.Millisecond
	hostsJitter   = 200 * time.Millisecond
	submitTimeout = 5 * time.Second
)

// watchTickets follows the configuration service.
func (r *Router) watchTickets(ctx context.Context) {
	_ = r.watcher.Run(ctx)
}

// applyTickets hands the tickets of one answer to the control goroutine.
func (r *Router) applyTickets(entries []plat.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	err := r.control.do(ctx, func() {
		for _, e := range entries {
			if e.Invalid != nil {
				r.control.reject(e.Invalid.Number, e.Invalid)
				continue
			}
			r.control.apply(e.Ticket)
		}
		r.control.endRevalidation()
	})
	if err != nil {
		r.logEvent(log.ErrorLevel, "discarded", wire.ReasonOverload, "tickets not taken, peers will send their objects", "tickets", len(entries), "err", err)
	}
}

// watchHosts reads the host list again and again.
func (r *Router) watchHosts(ctx context.Context) {
	for {
		hosts, dropped, err := r.platform.Hosts(ctx)
		if dropped > 0 {
			r.logEvent(log.WarnLevel, "discarded", wire.ReasonMalformed, "entries of the host list dropped", "hosts", dropped)
		}
		if err == nil {
			_ = r.control.do(ctx, func() { r.control.setHosts(hosts) })
		}
		if !clock.Sleep(ctx, hostsInterval+rand.N(hostsJitter)) {
			return
		}
	}
}
