package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
	"time"

	"github.com/gofiber/fiber/v3"

	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/core/wire"
)

// Admin configures an administration listener for each router and agent.
type Admin struct {
	// Credential is the operator's credential in plain text.
	Credential string
	// Out receives the log lines of the listeners; nil discards them.
	Out io.Writer
}

// adminDrainTimeout limits the drain of an administration listener.
const adminDrainTimeout = time.Second

// serveAdmin serves the administration listener of a process until ctx ends and returns
// its address, or "" if the fleet has no such listeners. register adds the process's
// routes, dumps and metrics.
func (f *Fleet) serveAdmin(ctx context.Context, name wire.HostID, role wire.Role, d proc.Dumper, register func(*proc.Process, fiber.Router)) (wire.Address, error) {
	a := f.Spec.Admin
	if a == nil {
		return "", nil
	}
	sum := sha256.Sum256([]byte(a.Credential))
	out := a.Out
	if out == nil {
		out = io.Discard
	}
	p, err := proc.New(proc.Config{
		Name: name, Role: role, LogLevel: "debug", AdminAddr: loopback, CredentialHash: hex.EncodeToString(sum[:]),
		DrainTimeout: adminDrainTimeout, LogOutput: out, Signals: make(chan os.Signal),
	})
	if err != nil {
		return "", err
	}
	p.AddDumper(string(role), d)
	register(p, p.Admin())
	addr := wire.Address(p.Addr().String())
	f.wg.Go(func() { f.recordError(p.Run(ctx)) })
	return addr, nil
}

// runBook runs the periodic logging of an accounting book until the fleet stops.
func (f *Fleet) runBook(run func(context.Context) error) {
	f.wg.Go(func() { _ = run(f.ctx) })
}
