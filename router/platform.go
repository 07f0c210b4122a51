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

// Platform is the source of tickets, which are numbered changes of the configuration,
// and of the host list.
type Platform interface {
	plat.Source
	// Hosts returns the host list and the number of invalid entries that were
	// dropped from it.
	Hosts(ctx context.Context) (hosts []plat.Host, dropped int, err error)
}

const (
	// hostsInterval must stay well under 4 s, the time within which a leaving host
	// must stop receiving work. At this interval 370 routers make about 250 reads
	// a second.
	hostsInterval = 1500 * time.Millisecond
	// hostsJitter is the maximum of the random time added to hostsInterval.
	hostsJitter = 200 * time.Millisecond
	// submitTimeout bounds the wait for the control goroutine to apply tickets.
	submitTimeout = 5 * time.Second
)

// watchTickets receives tickets from the platform until ctx is done.
func (r *Router) watchTickets(ctx context.Context) {
	_ = r.watcher.Run(ctx)
}

// applyTickets applies the tickets of one answer of the platform in the control
// goroutine.
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
		r.logEvent(log.ErrorLevel, "discarded", wire.ReasonOverload, "tickets discarded, peers will send their objects", "tickets", len(entries), "err", err)
	}
}

// watchHosts polls the host list until ctx is done.
func (r *Router) watchHosts(ctx context.Context) {
	for {
		hosts, dropped, err := r.platform.Hosts(ctx)
		if dropped > 0 {
			r.logEvent(log.WarnLevel, "discarded", wire.ReasonMalformed, "invalid entries of the host list dropped", "hosts", dropped)
		}
		if err == nil {
			_ = r.control.do(ctx, func() { r.control.setHosts(hosts) })
		} else if ctx.Err() == nil {
			r.logEvent(log.WarnLevel, "discarded", wire.ReasonUnavailable, "could not read the host list, keeping the previous one", "err", err)
		}
		if !clock.Sleep(ctx, hostsInterval+rand.N(hostsJitter)) {
			return
		}
	}
}
