package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/pool"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/demo/local"
	"hornbeamcove.example/router"
)

// promptBody is the request body for a pipeline that generates an answer.
type promptBody struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"max_tokens"`
}

// showAnswers sends a request to the pipelines of the teams folders and installers and
// prints the answers and their stages. It then sends one kit reservation twice.
func showAnswers(ctx context.Context, w io.Writer, f *local.Fleet) error {
	for i, c := range []struct {
		key      string
		pipeline wire.PipelineID
		text     string
	}{
		{"folders-key", local.FoldPlan, "full fold plan for the long-range glider from archived pattern seven with trim notes for a windy day"},
		{"installers-key", local.Wiring, "review the wiring plan of a three-speed ceiling fan with a wall control and a separate light circuit"},
	} {
		rep, err := local.Post(ctx, f.Routers[i%len(f.Routers)].URL, local.Call{
			Key: c.key, Pipeline: c.pipeline, Stream: true, Body: promptBody{c.text, 24},
		})
		if err != nil {
			return err
		}
		if rep.Refusal != nil {
			return fmt.Errorf("%s: %w", c.pipeline, rep.Refusal)
		}
		fmt.Fprintf(w, "\n%s, request %s, first token after %s:\n  %s\n", c.pipeline, rep.Answer.Request, rep.FirstChunk.Round(time.Millisecond), rep.Text)
		printStages(w, rep.Answer)
	}
	return showReservation(ctx, w, f)
}

// printStages prints the duration and cost of each stage of an answer.
func printStages(w io.Writer, a *router.Answer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  stage\tupstream\tms\tinput\tcached\toutput\tcalls\tbusy us")
	for _, s := range a.Stages {
		fmt.Fprintf(tw, "  %s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Stage, s.Upstream, s.Millis, s.Cost.Input, s.Cost.Cached, s.Cost.Output, s.Cost.Calls, s.Cost.Busy)
	}
	_ = tw.Flush()
}

// showReservation sends one non-repeatable request through each router with the same
// token, and returns an error unless it took effect exactly once.
func showReservation(ctx context.Context, w io.Writer, f *local.Fleet) error {
	tok, err := local.Reserve(ctx, f.Routers[0].URL, "folders-key", local.KitOrder)
	if err != nil {
		return err
	}
	for _, r := range f.Routers {
		rep, err := local.Post(ctx, r.URL, local.Call{
			Key: "folders-key", Pipeline: local.KitOrder, Token: tok, Body: map[string]string{"kit": "school glider"},
		})
		if err != nil {
			return err
		}
		if rep.Refusal != nil {
			return fmt.Errorf("reservation through %s: %w", r.Name, rep.Refusal)
		}
	}
	effects := 0
	for _, u := range f.Upstreams {
		effects += u.Record().Effects[string(tok)]
	}
	fmt.Fprintf(w, "\nkit reservation sent through %d routers took effect %d time(s)\n", len(f.Routers), effects)
	if effects != 1 {
		return fmt.Errorf("reservation took effect %d times", effects)
	}
	return nil
}

// replyStats counts the replies to the load. It is safe for concurrent use.
type replyStats struct {
	mu       sync.Mutex
	answered int
	refused  map[string]int // number of refusals by reason and what was executed
	errs     []error
}

// add counts a reply, which must have wantTokens tokens if it is an answer.
func (s *replyStats) add(rep *local.Reply, wantTokens int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.errs = append(s.errs, err)
	case rep.Refusal != nil:
		s.refused[string(rep.Refusal.Reason)+", executed "+string(rep.Refusal.Executed)]++
	case len(strings.Fields(rep.Text)) != wantTokens:
		s.errs = append(s.errs, fmt.Errorf("request %s: got %d tokens, want %d", rep.Answer.Request, len(strings.Fields(rep.Text)), wantTokens))
	default:
		s.answered++
	}
}

// drainAndRestoreCentre takes a data centre out and back in under load, and prints how
// long both changes took.
func drainAndRestoreCentre(ctx context.Context, w io.Writer, f *local.Fleet, rate float64, length time.Duration) error {
	const centre = wire.DataCentreID("catania")
	s := &replyStats{refused: map[string]int{}}
	p := pool.New()
	p.Go(func() { s.sendLoad(ctx, f, rate, length) })
	if err := sleep(ctx, length/4); err != nil {
		return err
	}
	if _, err := f.Publish(f.CentreObject(centre, wire.CentreStateOut)); err != nil {
		return err
	}
	start := time.Now()
	err := f.Await(ctx, func() error { return f.CheckIneligible(centre) })
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%s out: no eligible upstream there after %s\n", centre, time.Since(start).Round(time.Millisecond))
	callsBefore := f.CallsBegun(centre)
	if err = sleep(ctx, length/4); err != nil {
		return err
	}
	lateCalls := f.CallsBegun(centre) - callsBefore
	if _, err = f.Publish(f.CentreObject(centre, wire.CentreStateIn)); err != nil {
		return err
	}
	start = time.Now()
	if err = f.AwaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s back: eligible again after %s\n", centre, time.Since(start).Round(time.Millisecond))
	p.Wait()
	return s.report(w, lateCalls)
}

// sendLoad sends rate requests a second for the given time and waits for the replies.
func (s *replyStats) sendLoad(ctx context.Context, f *local.Fleet, rate float64, length time.Duration) {
	const tokens = 16
	p := pool.New()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		p.Go(func() {
			key, pl := "folders-key", local.FoldPlan
			if i%2 == 1 {
				key, pl = "installers-key", local.Wiring
			}
			rep, err := local.Post(ctx, f.Routers[i%len(f.Routers)].URL, local.Call{
				Key: key, Pipeline: pl, Stream: true, Body: promptBody{fmt.Sprintf("question %d", i), tokens},
			})
			s.add(rep, tokens, err)
		})
		if sleep(ctx, time.Duration(float64(time.Second)/rate)) != nil {
			break
		}
	}
	p.Wait()
}

// report prints the counts and returns an error if any request failed or was refused.
// lateCalls is the number of calls that began in the data centre while it was out.
func (s *replyStats) report(w io.Writer, lateCalls int) error {
	fmt.Fprintf(w, "load: %d answered whole, %d refused %v\n", s.answered, sum(s.refused), s.refused)
	if lateCalls > 0 {
		return fmt.Errorf("%d calls began in the data centre while it was out", lateCalls)
	}
	if sum(s.refused) > 0 {
		return errors.New("requests were refused although the other data centres had capacity")
	}
	return errors.Join(s.errs...)
}

func sum(m map[string]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

// sleep waits for d, or returns the error of ctx when it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
