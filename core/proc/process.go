package proc

import (
	"context"
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/uber-go/tally/v4"

	"hornbeamcove.example/core/wire"
)

// Config holds the settings of a process.
type Config struct {
	Name wire.HostID
	Role wire.Role
	// LogLevel is the lowest level logged: debug, info, warn or error.
	LogLevel string
	// AdminAddr is the address of the administration listener.
	AdminAddr wire.Address
	// CredentialHash is the hexadecimal SHA-256 hash of the operator's credential.
	CredentialHash string
	// DrainTimeout bounds the total time of all drain steps.
	DrainTimeout time.Duration
	// TLS makes the administration listener use TLS unless it is nil.
	TLS *tls.Config
	// LogOutput receives the log lines; nil means standard error.
	LogOutput io.Writer
	// Signals replaces the signals of the operating system when it is not nil.
	Signals <-chan os.Signal
}

const (
	// stopTimeout bounds each wait after the drain timeout: for steps that overrun
	// it, for goroutines and for the administration listener.
	stopTimeout = 2 * time.Second

	signalBuffer = 8 // capacity of the channel for signals of the operating system
)

// Process is the runtime of one process. Checks, dumpers, drain steps and routes
// must be added before Run.
type Process struct {
	cfg         Config
	log         *log.Logger
	ln          net.Listener
	app         *fiber.App
	metrics     *metrics
	stopTimeout time.Duration // the constant stopTimeout; shorter in tests

	ctx      context.Context // ends when the drain is over
	cancel   context.CancelFunc
	quit     chan struct{} // closed by Stop
	stopOnce sync.Once
	wg       conc.WaitGroup

	failure  atomic.Pointer[error] // first cause of an unplanned stop
	draining atomic.Bool
	ready    checks
	health   checks
	dumpers  dumpers
	steps    []step
}

// step is one step of the drain sequence.
type step struct {
	name string
	run  func(context.Context) error
}

// New returns a process whose administration listener is bound and not yet
// served. The caller must call Run or Close.
func New(cfg Config) (p *Process, err error) {
	defer func() {
		if err != nil {
			p, err = nil, fmt.Errorf("start process %s: %w", cfg.Name, err)
		}
	}()
	logger, err := NewLogger(cfg.LogOutput, cfg.LogLevel, "name", string(cfg.Name), "role", string(cfg.Role))
	if err != nil {
		return nil, err
	}
	hash, err := parseCredentialHash(cfg.CredentialHash)
	if err != nil {
		return nil, err
	}
	p = &Process{cfg: cfg, log: logger, quit: make(chan struct{}), stopTimeout: stopTimeout}
	p.metrics = newMetrics(logger)
	p.ln, err = net.Listen("tcp", string(cfg.AdminAddr))
	if err != nil {
		return nil, errors.Join(err, p.metrics.close())
	}
	if cfg.TLS != nil {
		p.ln = tls.NewListener(p.ln, cfg.TLS)
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.app = p.newApp(hash)
	return p, nil
}

// Log returns the process's logger.
func (p *Process) Log() *log.Logger { return p.log }

// Scope returns the root scope of the process's metrics.
func (p *Process) Scope() tally.Scope { return p.metrics.scope }

// Addr returns the address of the administration listener.
func (p *Process) Addr() net.Addr { return p.ln.Addr() }

// Admin returns the fiber.Router of the administration server. Routes added to it
// need the operator's credential.
func (p *Process) Admin() fiber.Router { return p.app }

// Draining reports whether the drain has begun.
func (p *Process) Draining() bool { return p.draining.Load() }

// AddReady adds a check that must return nil for the process to be ready.
func (p *Process) AddReady(name string, check func() error) { p.ready.add(name, check) }

// AddHealth adds a check that must return nil for the process to be healthy.
func (p *Process) AddHealth(name string, check func() error) { p.health.add(name, check) }

// OnDrain adds a step of the drain sequence. Steps run one after another, in the
// order in which they were added, and share the drain timeout; the context of a
// step ends with it.
func (p *Process) OnDrain(name string, run func(context.Context) error) {
	p.steps = append(p.steps, step{name, run})
}

// Go runs f in a goroutine that Run waits for. The context ends after the drain.
// When f returns an error before that, or panics, the process drains and Run
// returns the error.
func (p *Process) Go(name string, f func(context.Context) error) {
	p.wg.Go(func() {
		var err error
		if r := panics.Try(func() { err = f(p.ctx) }); r != nil {
			err = r.AsError()
		}
		switch {
		case err == nil || p.ctx.Err() != nil && errors.Is(err, context.Canceled):
		case p.ctx.Err() != nil:
			p.log.Error("goroutine failed during the shutdown", "goroutine", name, "error", err)
		default:
			p.log.Error("goroutine failed", "goroutine", name, "error", err)
			p.metrics.scope.Counter("goroutine_failures").Inc(1)
			p.fail(fmt.Errorf("goroutine %s: %w", name, err))
		}
	})
}

// Stop starts the drain, like SIGTERM.
func (p *Process) Stop() { p.stopOnce.Do(func() { close(p.quit) }) }

// Run serves the administration listener and handles signals until SIGTERM,
// SIGINT, Stop or the end of ctx; then it drains and stops. It returns nil after
// a complete drain.
func (p *Process) Run(ctx context.Context) (err error) {
	signals, stop := p.signals()
	defer stop()
	served := make(chan error, 1)
	var serving conc.WaitGroup
	serving.Go(func() {
		served <- p.app.Listener(p.ln, fiber.ListenConfig{DisableStartupMessage: true})
	})
	p.log.Info("process started", "admin", p.ln.Addr().String(), "pid", os.Getpid())

	p.waitForStop(ctx, signals, served)
	err = p.drain(signals)
	return errors.Join(p.failureCause(), err, p.shutDown(serving.Wait))
}

// waitForStop returns when the drain must begin.
func (p *Process) waitForStop(ctx context.Context, signals <-chan os.Signal, served <-chan error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.quit:
			return
		case err := <-served:
			p.fail(fmt.Errorf("administration listener ended early: %w", errors.Join(err, net.ErrClosed)))
			return
		case s := <-signals:
			if s != syscall.SIGUSR1 {
				p.log.Info("signal received", "signal", s.String())
				return
			}
			p.logDump()
		}
	}
}

// signals returns the signals to handle and a function that stops their delivery.
func (p *Process) signals() (c <-chan os.Signal, stop func()) {
	if p.cfg.Signals != nil {
		return p.cfg.Signals, func() {}
	}
	received := make(chan os.Signal, signalBuffer)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	return received, func() { signal.Stop(received) }
}

// Close releases a process that was not run.
func (p *Process) Close() error {
	p.cancel()
	p.wg.Wait()
	return errors.Join(p.ln.Close(), p.metrics.close())
}

// LogTLSReload logs the result of a reload of TLS material.
func (p *Process) LogTLSReload(err error) {
	if err != nil {
		p.log.Error("TLS material not reloaded", "err", err)
		return
	}
	p.log.Info("TLS material reloaded")
}

// Exit ends a program with status 0 if err is nil, with 2 after its usage was
// shown for -h, and otherwise with 1 and the error on standard error.
func Exit(program string, err error) {
	switch {
	case err == nil:
		os.Exit(0)
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
}

// Serve creates a process, passes it to start and runs it until its drain has
// ended.
func Serve(cfg Config, start func(*Process) error) (err error) {
	p, err := New(cfg)
	if err != nil {
		return err
	}
	if err = start(p); err != nil {
		return errors.Join(err, p.Close())
	}
	return p.Run(context.Background())
}
