// Command demo runs a fleet in one process on the loopback interface: two routers
// and three data centres with agents and simulated upstreams. It prints streamed
// answers with their stages, and takes a data centre out and back in under load. It
// exits with 0 only if every answer was complete, no request was refused, and no call
// began in the data centre while it was out.
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

// runTimeout limits the whole run.
const runTimeout = 60 * time.Second

func main() {
	rate := flag.Float64("rate", 40, "requests a second while the data centre is taken out and back in")
	length := flag.Duration("length", 6*time.Second, "duration of the load")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx, os.Stdout, *rate, *length); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run starts the fleet and runs all parts of the demo. The load runs for length at rate
// requests a second.
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
