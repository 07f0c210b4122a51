// Command cove shows operators the state of routers and agents.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hornbeamcove.example/cove"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cove.Run(ctx, os.Args[1:], cove.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
