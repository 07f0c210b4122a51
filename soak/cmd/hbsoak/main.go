// Command hbsoak runs routers as separate processes, injects random faults and reports
// violated invariants. It exits with 1 if there are any.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3"

	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/soak"
)

func main() { proc.Exit("hbsoak", run(os.Args[1:], os.Stdout, os.Stderr)) }

var errViolations = errors.New("invariants were violated")

func run(args []string, out, usage io.Writer) (err error) {
	fs := flag.NewFlagSet("hbsoak", flag.ContinueOnError)
	fs.SetOutput(usage)
	firstSeed := fs.Uint64("seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of consecutive seeds to run, one after the other")
	routers := fs.Int("routers", 3, "number of router processes")
	callers := fs.Int("callers", 12, "number of concurrent callers")
	faults := fs.Duration("faults", 10*time.Second, "time during which faults are injected")
	silences := fs.Bool("silences", false, "beside the faults, play series of silent replicas, stops under load, reloads, changes and bursts")
	answers := fs.Bool("answers", false, "beside the faults, play series of faulty answers: without end, sent twice, with an ambiguous end")
	changes := fs.Bool("changes", false, "beside the faults, play series of changes of the configuration, routers with a quota, silent replicas and stops under load")
	moves := fs.Bool("moves", false, "beside the faults, move stages to another service and back under load, and take replicas of the former one out")
	edges := fs.Bool("edges", false, "beside the faults, play series of rare cases: all but one replica of a version full, no teams, stages numbered backward")
	planned := fs.Bool("planned", false, "leave out faults that are not planned")
	program := fs.String("program", "", "router program to run; it is built from the workspace if empty")
	keepDir := fs.String("keep", "", "directory for the settings and logs of runs with violations")
	reportDir := fs.String("report", "", "directory for an HTML report of each run")
	if err = ff.Parse(fs, args, ff.WithEnvVarPrefix("HBSOAK")); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "hbsoak")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	if *program == "" {
		if *program, err = soak.Build(dir); err != nil {
			return err
		}
	}
	failedSeeds := 0
	for i := range *seeds {
		o := soak.Options{Seed: *firstSeed + uint64(i), Routers: *routers, Callers: *callers, FaultDuration: *faults, Program: *program, Silences: *silences, Answers: *answers, Changes: *changes, Moves: *moves, Edges: *edges, PlannedOnly: *planned}
		if *reportDir != "" {
			o.ReportPath = filepath.Join(*reportDir, fmt.Sprintf("seed-%d.html", o.Seed))
		}
		if o.Dir, err = os.MkdirTemp(dir, "run"); err != nil {
			return err
		}
		violations, served, err := soak.Execute(o)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %d: %d served, %d violations\n", o.Seed, served, len(violations))
		for _, v := range violations {
			fmt.Fprintln(out, "  "+v)
		}
		if len(violations) > 0 {
			failedSeeds++
			if *keepDir != "" {
				if err = os.CopyFS(fmt.Sprintf("%s/seed-%d", *keepDir, o.Seed), os.DirFS(o.Dir)); err != nil {
					return err
				}
			}
		}
	}
	fmt.Fprintf(out, "%d of %d seeds with violations\n", failedSeeds, *seeds)
	if failedSeeds > 0 {
		return errViolations
	}
	return nil
}
