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
	// hostsPeriod is kept well under the 4 s in which a leaving host must stop
	// receiving work; 370 routers make 250 such reads a second.
	hostsPeriod = 1500 * time.Millisecond
	hostsJitter = 200 * time.Millisecond
	submitLimit = 5 * time.Second
)

// watchTickets follows the configuration service.
func (r *Router) watchTickets(ctx context.Context) {
	_ = r.watcher.Run(ctx)
}

// takeTickets hands the tickets of one answer to the control goroutine.
func (r *Router) takeTickets(entries []plat.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), submitLimit)
	defer cancel()
	err := r.ctl.do(ctx, func() {
		for _, e := range entries {
			if e.Invalid != nil {
				r.ctl.reject(e.Invalid.Number, e.Invalid)
				continue
			}
			r.ctl.apply(e.Ticket)
		}
		r.ctl.confirmed()
	})
	if err != nil {
		r.note(log.ErrorLevel, "discarded", wire.ReasonOverload, "tickets not taken, peers will send their objects", "tickets", len(entries), "err", err)
	}
}

// watchHosts reads the host list again and again.
func (r *Router) watchHosts(ctx context.Context) {
	for {
		hosts, dropped, err := r.plat.Hosts(ctx)
		if dropped > 0 {
			r.note(log.WarnLevel, "discarded", wire.ReasonMalformed, "entries of the host list dropped", "hosts", dropped)
		}
		if err == nil {
			_ = r.ctl.do(ctx, func() { r.ctl.setHosts(hosts) })
		}
		if !clock.Sleep(ctx, hostsPeriod+rand.N(hostsJitter)) {
			return
		}
	}
}
