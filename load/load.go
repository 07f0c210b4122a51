package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"hornbeamcove.example/core/clock"
)

// Run sends the requests of cfg and waits for their answers. When ctx ends it starts no
// more requests and reports on those that it sent.
func Run(ctx context.Context, cfg Config) (r *Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load: %w", err)
		}
	}()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	var (
		wg     conc.WaitGroup
		mu     sync.Mutex
		tally  = newCollector(&cfg)
		calls  = newCaller(&cfg)
		flight = make(chan struct{}, cfg.MaxInFlight)
		begin  = time.Now()
		plan   = newSchedule(&cfg)
	)
	defer calls.client.CloseIdleConnections()
	for a, ok := plan.next(); ok && clock.Sleep(ctx, time.Until(begin.Add(a.offset))); a, ok = plan.next() {
		select {
		case flight <- struct{}{}:
		default:
			mu.Lock()
			tally.shed(a)
			mu.Unlock()
			continue
		}
		wg.Go(func() {
			defer func() { <-flight }()
			o := calls.do(a, begin.Add(a.offset))
			mu.Lock()
			defer mu.Unlock()
			tally.add(o)
		})
	}
	wg.Wait()
	return tally.report(), nil
}
