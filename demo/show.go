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

// promptBody is the caller's body of an answering pipeline.
type promptBody struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"max_tokens"`
}

// showAnswers runs the folder's and the installer's pipelines and prints the
// answers and their stages, then reserves a kit and sends the reservation twice.
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

func printStages(w io.Writer, a *router.Answer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  stage\tupstream\tms\tinput\tcached\toutput\tcalls\tbusy us")
	for _, s := range a.Stages {
		fmt.Fprintf(tw, "  %s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Stage, s.Upstream, s.Millis, s.Cost.Input, s.Cost.Cached, s.Cost.Output, s.Cost.Calls, s.Cost.Busy)
	}
	_ = tw.Flush()
}

// showReservation sends one non-repeatable request through both routers; the
// service must take effect once.
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

// replyStats counts the replies of a load.
type replyStats struct {
	mu       sync.Mutex
	answered int
	refused  map[string]int
	errs     []error
}

func (t *replyStats) add(rep *local.Reply, want int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.errs = append(t.errs, err)
	case rep.Refusal != nil:
		t.refused[string(rep.Refusal.Reason)+", executed "+string(rep.Refusal.Executed)]++
	case len(strings.Fields(rep.Text)) != want:
		t.errs = append(t.errs, fmt.Errorf("request %s: %d of %d tokens", rep.Answer.Request, len(strings.Fields(rep.Text)), want))
	default:
		t.answered++
	}
}

// drainAndRestoreCentre takes a data centre out and back while load runs.
func drainAndRestoreCentre(ctx context.Context, w io.Writer, f *local.Fleet, rate float64, length time.Duration) error {
	const moved = wire.DataCentreID("catania")
	t := &replyStats{refused: map[string]int{}}
	p := pool.New()
	p.Go(func() { t.sendLoad(ctx, f, rate, length) })
	if err := sleep(ctx, length/4); err != nil {
		return err
	}
	if _, err := f.Publish(f.CentreObject(moved, wire.CentreStateOut)); err != nil {
		return err
	}
	begun := time.Now()
	err := f.Await(ctx, func() error { return f.CheckIneligible(moved) })
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%s out: no eligible upstream there after %s\n", moved, time.Since(begun).Round(time.Millisecond))
	before := f.CallsBegun(moved)
	if err = sleep(ctx, length/4); err != nil {
		return err
	}
	late := f.CallsBegun(moved) - before
	if _, err = f.Publish(f.CentreObject(moved, wire.CentreStateIn)); err != nil {
		return err
	}
	begun = time.Now()
	if err = f.AwaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s back: eligible again after %s\n", moved, time.Since(begun).Round(time.Millisecond))
	p.Wait()
	return t.report(w, late)
}

func (t *replyStats) sendLoad(ctx context.Context, f *local.Fleet, rate float64, length time.Duration) {
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
			t.add(rep, tokens, err)
		})
		if sleep(ctx, time.Duration(float64(time.Second)/rate)) != nil {
			break
		}
	}
	p.Wait()
}

func (t *replyStats) report(w io.Writer, late int) error {
	fmt.Fprintf(w, "load: %d answered whole, %d refused %v\n", t.answered, sum(t.refused), t.refused)
	if late > 0 {
		return fmt.Errorf("%d calls began in the data centre that was out", late)
	}
	if sum(t.refused) > 0 {
		return errors.New("requests were refused although the other data centres had room")
	}
	return errors.Join(t.errs...)
}

func sum(m map[string]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
