// Command hbentry runs a router that calls upstreams directly.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/entry"
)

func main() {
	proc.Exit("hbentry", run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, usage io.Writer) (err error) {
	fs := flag.NewFlagSet("hbentry", flag.ContinueOnError)
	fs.SetOutput(usage)
	path := fs.String("settings", "", "path of the TOML file with settings, or HORNBEAMCOVE_SETTINGS in the environment")
	check := fs.Bool("check", false, "check the settings and exit")
	if err = ff.Parse(fs, args, ff.WithEnvVarPrefix("HORNBEAMCOVE")); err != nil {
		return err
	}
	if *path == "" {
		return fmt.Errorf("settings file not given: set -settings or HORNBEAMCOVE_SETTINGS")
	}
	cfg, err := entry.LoadSettings(*path)
	if err != nil || *check {
		return err
	}
	s, err := entry.New(cfg, *path, out)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	return s.Run(context.Background(), signals, func(sig os.Signal) bool { return sig == syscall.SIGHUP })
}
