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

// Admin asks for an administration listener beside each router and agent.
type Admin struct {
	// Credential is the operator's credential in clear.
	Credential string
	// Out receives the log lines of the listeners; nil discards them.
	Out io.Writer
}

const adminDrainTimeout = time.Second

// serveAdmin returns a process whose administration listener is served until ctx
// ends, or no address when the fleet has none. start adds its routes.
func (f *Fleet) serveAdmin(ctx context.Context, name wire.HostID, role wire.Role, d proc.Dumper, start func(*proc.Process, fiber.Router)) (wire.Address, error) {
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
	start(p, p.Admin())
	addr := wire.Address(p.Addr().String())
	f.wg.Go(func() { f.recordError(p.Run(ctx)) })
	return addr, nil
}

// runBook runs a book's log lines until the fleet stops.
func (f *Fleet) runBook(run func(context.Context) error) {
	f.wg.Go(func() { _ = run(f.ctx) })
}
