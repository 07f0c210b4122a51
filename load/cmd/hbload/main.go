// Command hbload sends requests to routers at a fixed rate and reports how they ended.
//
//	hbload -router 127.0.0.1:8080 -key secret -pipeline plan=20 -pipeline book=2 -once book -for 30s
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "hbload:", err)
		os.Exit(1)
	}
}

// listFlag is a flag that may be repeated and holds comma-separated values.
type listFlag []string

func (l *listFlag) String() string { return strings.Join(*l, ",") }

func (l *listFlag) Set(s string) error {
	*l = append(*l, strings.Split(s, ",")...)
	return nil
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	var (
		cfg             load.Config
		routers, keys   listFlag
		pipelines, once listFlag
		output          string
	)
	fs := flag.NewFlagSet("hbload", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Var(&routers, "router", "`address` of a router; may be repeated")
	fs.Var(&keys, "key", "team `key`, one of which is chosen for each request; may be repeated")
	fs.Var(&pipelines, "pipeline", "`name=rate` in requests a second; may be repeated")
	fs.Var(&once, "once", "`name` of a pipeline that needs a reservation; may be repeated")
	fs.DurationVar(&cfg.Duration, "for", 10*time.Second, "time during which requests start")
	fs.DurationVar(&cfg.Deadline, "deadline", 3*time.Second, "deadline of each request")
	fs.IntVar(&cfg.PromptWords, "words", 64, "words in a prompt")
	fs.IntVar(&cfg.SharedWords, "shared", 32, "words at the beginning of a prompt that several requests share")
	fs.IntVar(&cfg.MaxTokens, "tokens", 32, "tokens to generate")
	fs.BoolVar(&cfg.Stream, "stream", false, "ask for server-sent events")
	fs.IntVar(&cfg.MaxResends, "resend", 0, "times to send a request again after its connection is lost")
	fs.IntVar(&cfg.MaxInFlight, "flight", 0, "most requests in flight; 0 for the default")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of start times and prompts")
	fs.StringVar(&output, "o", "text", "output, text or json")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("HBLOAD")); err != nil {
		return err
	}
	if fs.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	if output != "text" && output != "json" {
		return fmt.Errorf("output %q: want text or json", output)
	}
	cfg.Routers, cfg.Keys = routers, keys
	for _, p := range pipelines {
		rate, err := load.ParseRate(p)
		if err != nil {
			return err
		}
		cfg.Rates = append(cfg.Rates, rate)
	}
	for _, p := range once {
		cfg.AtMostOnce = append(cfg.AtMostOnce, wire.PipelineID(p))
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if output == "json" {
		return report.WriteJSON(stdout)
	}
	return report.WriteText(stdout)
}
