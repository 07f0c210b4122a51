package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"hornbeamcove.example/core/clock"
)

// Run sends the requests of cfg and waits for their answers. When ctx ends, it starts no
// more requests and reports on those already sent. It returns an error if cfg is invalid.
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
		wg       conc.WaitGroup
		mu       sync.Mutex
		results  = newCollector(&cfg)
		sender   = newCaller(&cfg)
		inFlight = make(chan struct{}, cfg.MaxInFlight)
		start    = time.Now()
		arrivals = newSchedule(&cfg)
	)
	defer sender.client.CloseIdleConnections()
	for a, ok := arrivals.next(); ok && clock.Sleep(ctx, time.Until(start.Add(a.offset))); a, ok = arrivals.next() {
		select {
		case inFlight <- struct{}{}:
		default:
			mu.Lock()
			results.shed(a)
			mu.Unlock()
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			o := sender.do(a, start.Add(a.offset))
			mu.Lock()
			defer mu.Unlock()
			results.add(o)
		})
	}
	wg.Wait()
	return results.report(), nil
}
