package router

import (
	"context"
	"testing"
	"time"

	"hornbeamcove.example/core/wire"
)

// TestDispatchWhileMembersChange guards against a panic when the last upstream
// with room goes away while a stage that avoids it is being placed.
func TestDispatchWhileMembersChange(t *testing.T) {
	p := newPool("desk", 8)
	l := newAgentLink(nil, "u", "10.0.0.1:1", p)
	l.report.Store(&receivedReport{Report: wire.Report{Upstream: "u", Limit: 4}})
	none, one := &[]poolMember{}, &[]poolMember{{link: l}}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				p.members.Store(none)
				p.members.Store(one)
			}
		}
	}()
	for range 500 {
		w := &placement{team: "t", weight: 1, rank: wire.RankInteractive, cost: 1, latestStart: time.Now().Add(time.Millisecond), avoid: map[wire.UpstreamID]bool{"u": true}}
		if got, _ := p.acquire(context.Background(), w); got != nil {
			p.release(got)
		}
	}
	close(stop)
	<-stopped
}
