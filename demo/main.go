// Command demo runs a whole fleet in one process on loopback: two routers, three
// data centres with agents and stand-ins. It prints streamed answers with their
// stages, takes a data centre out and brings it back under load, and exits with 0
// only when every answer was whole or truthfully refused and the move caused no
// refusal.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"hornbeamcove.example/demo/local"
)

const runTimeout = 60 * time.Second

func main() {
	rate := flag.Float64("rate", 40, "requests a second while the data centre moves")
	length := flag.Duration("length", 6*time.Second, "time of the load")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx, os.Stdout, *rate, *length); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, w io.Writer, rate float64, length time.Duration) (err error) {
	f, err := local.Start(ctx, local.ExampleSpec(2*time.Millisecond))
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	fmt.Fprintf(w, "fleet: %d routers, %d upstreams in %d data centres\n", len(f.Routers), len(f.Upstreams), len(f.Spec.Centres))
	if err = showAnswers(ctx, w, f); err != nil {
		return err
	}
	return drainAndRestoreCentre(ctx, w, f, rate, length)
}
