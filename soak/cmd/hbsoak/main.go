// Command hbsoak runs routers as separate processes under drawn faults and reports
// what they broke. Its exit code is 1 if anything was found.
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

var errViolations = errors.New("a promise was broken")

func run(args []string, out, usage io.Writer) (err error) {
	fs := flag.NewFlagSet("hbsoak", flag.ContinueOnError)
	fs.SetOutput(usage)
	first := fs.Uint64("seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of seeds, one after the other")
	routers := fs.Int("routers", 3, "router processes")
	callers := fs.Int("callers", 12, "callers at the same time")
	faults := fs.Duration("faults", 10*time.Second, "time for which faults are injected")
	program := fs.String("program", "", "router program to run; it is built from the workspace if empty")
	keep := fs.String("keep", "", "folder for the logs of runs in which something was found")
	report := fs.String("report", "", "folder for an HTML page about each run")
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
	broken := 0
	for i := range *seeds {
		o := soak.Options{Seed: *first + uint64(i), Routers: *routers, Callers: *callers, FaultDuration: *faults, Program: *program}
		if *report != "" {
			o.ReportPath = filepath.Join(*report, fmt.Sprintf("seed-%d.html", o.Seed))
		}
		if o.Dir, err = os.MkdirTemp(dir, "run"); err != nil {
			return err
		}
		found, served, err := soak.Execute(o)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %d: %d served, %d found\n", o.Seed, served, len(found))
		for _, f := range found {
			fmt.Fprintln(out, "  "+f)
		}
		if len(found) > 0 {
			broken++
			if *keep != "" {
				if err = os.CopyFS(fmt.Sprintf("%s/seed-%d", *keep, o.Seed), os.DirFS(o.Dir)); err != nil {
					return err
				}
			}
		}
	}
	fmt.Fprintf(out, "%d of %d seeds with something broken\n", broken, *seeds)
	if broken > 0 {
		return errViolations
	}
	return nil
}
