// Command bench measures how the costs of the system grow with the fleet and writes
// the capacity page.
//
//	bench capacity -out docs/CAPACITY.md
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hornbeamcove.example/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, stdout io.Writer) error {
	root := &ffcli.Command{
		Name: "bench", ShortUsage: "bench <command>", Subcommands: []*ffcli.Command{capacityCommand(stdout)},
		Exec: func(context.Context, []string) error { return errors.New("name a command: capacity") },
	}
	return root.ParseAndRun(ctx, args)
}

func capacityCommand(stdout io.Writer) *ffcli.Command {
	var o bench.Options
	fs := flag.NewFlagSet("bench capacity", flag.ContinueOnError)
	fs.StringVar(&o.Parts, "parts", bench.Parts, "`letters` of the parts to run")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of all random choices")
	fs.BoolVar(&o.Tiny, "tiny", false, "use the smallest sizes, whose figures mean nothing")
	out := fs.String("out", "", "`file` to write the page to instead of the standard output")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "bench capacity [flags]", FlagSet: fs,
		ShortHelp: "measure how costs grow with the fleet and derive the figures at the target size",
		Exec: func(ctx context.Context, _ []string) error {
			var page bytes.Buffer
			if err := bench.Capacity(ctx, &page, o); err != nil {
				return err
			}
			if *out != "" {
				return os.WriteFile(*out, page.Bytes(), 0o644)
			}
			_, err := stdout.Write(page.Bytes())
			return err
		},
	}
}
