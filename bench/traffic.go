package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"hornbeamcove.example/demo/local"
	"hornbeamcove.example/load"
)

const (
	tokenInterval     = time.Millisecond      // engine time per token
	slowTokenInterval = 50 * time.Millisecond // engine time per token while the memory of requests in flight is measured
	slowTokens        = 60                    // tokens per request while the memory of requests in flight is measured
	requestDeadline   = 3 * time.Second
)

// measureTraffic measures requests and callers' connections (part f). Callers, routers,
// agents and fakes share the process, so the figures are upper bounds.
func (c *capacityRun) measureTraffic(ctx context.Context) (err error) {
	cpu := c.addSeries("f", "processor time of all processes", "µs/s", "requests/s", "tokens/s")
	f, err := local.Start(ctx, local.ExampleSpec(tokenInterval))
	if f != nil {
		defer func() { err = errors.Join(err, f.Close()) }()
	}
	if err != nil {
		return err
	}
	// Warm up the upstreams with requests that are not measured.
	if _, err = c.sendRequests(ctx, f, c.size.requestRates[len(c.size.requestRates)-1], 1); err != nil {
		return err
	}
	for _, rate := range c.size.requestRates {
		for _, tokens := range c.size.tokens {
			before, start := processorTime(), time.Now()
			report, err := c.sendRequests(ctx, f, rate, tokens)
			if err != nil {
				return err
			}
			elapsed := time.Since(start).Seconds()
			answerRate := float64(report.Answered) / elapsed
			cpu.Add(float64((processorTime()-before).Microseconds())/elapsed, answerRate, answerRate*float64(tokens))
			if report.Answered < report.Due {
				c.addNote("Part f: %d of %d requests were answered at %d requests a second with %d tokens.", report.Answered, report.Due, rate, tokens)
			}
		}
	}
	if err = c.measureConnections(ctx, f); err != nil {
		return err
	}
	return c.measureInFlight(ctx)
}

// sendRequests sends streamed requests at a rate per second, with a number of tokens
// each, for one window.
func (c *capacityRun) sendRequests(ctx context.Context, f *local.Fleet, rate, tokens int) (*load.Report, error) {
	var urls, keys []string
	for _, r := range f.Routers {
		urls = append(urls, strings.TrimPrefix(r.URL, "http://"))
	}
	for _, t := range f.Spec.Teams {
		keys = append(keys, t.Key)
	}
	return load.Run(ctx, load.Config{
		Routers: urls, Keys: keys, Rates: []load.Rate{{Pipeline: local.FoldPlan, PerSec: float64(rate)}},
		Duration: c.size.trafficWindow, Deadline: requestDeadline, PromptWords: 64, SharedWords: 32, MaxTokens: tokens, Stream: true, Seed: c.seed,
	})
}

// measureConnections measures the memory of idle connections from callers.
func (c *capacityRun) measureConnections(ctx context.Context, f *local.Fleet) error {
	s := c.addSeries("f", "memory of callers' connections, both ends", "MB", "connections")
	addr := strings.TrimPrefix(f.Routers[0].URL, "http://")
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	before := liveMemory()
	for _, n := range c.size.connections {
		for len(conns) < n {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return err
			}
			conns = append(conns, conn)
			// A request and its answer make the server allocate all that a connection needs.
			if _, err = fmt.Fprintf(conn, "GET /nothing HTTP/1.1\r\nHost: router\r\n\r\n"); err != nil {
				return err
			}
			if _, err = conn.Read(make([]byte, 4096)); err != nil {
				return err
			}
		}
		if err := sleep(ctx, warmupInterval); err != nil {
			return err
		}
		s.Add((liveMemory()-before)/megabyte, float64(n))
	}
	return nil
}

// measureInFlight measures the memory of requests in flight, which wait for slow
// engines.
func (c *capacityRun) measureInFlight(ctx context.Context) (err error) {
	s := c.addSeries("f", "memory of requests in flight, all processes", "MB", "requests")
	f, err := local.Start(ctx, local.ExampleSpec(slowTokenInterval))
	if f != nil {
		defer func() { err = errors.Join(err, f.Close()) }()
	}
	if err != nil {
		return err
	}
	for _, n := range c.size.inFlight {
		ctx, cancel := context.WithCancel(ctx)
		before := liveMemory()
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				// The request is cancelled while it runs, so its result means nothing.
				_, _ = local.Post(ctx, f.Routers[i%len(f.Routers)].URL, local.Call{
					Key: f.Spec.Teams[i%len(f.Spec.Teams)].Key, Pipeline: local.FoldPlan, Stream: true, Deadline: requestDeadline,
					Body: map[string]any{"prompt": strings.Repeat("word ", 64), "max_tokens": slowTokens},
				})
			})
		}
		err := sleep(ctx, time.Second)
		s.Add((liveMemory()-before)/megabyte, float64(n))
		cancel()
		wg.Wait()
		if err = errors.Join(err, f.AwaitReady(context.WithoutCancel(ctx))); err != nil {
			return err
		}
	}
	return nil
}
