package proc

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/panics"
)

// fail records the first cause of an unplanned stop and starts the drain.
func (p *Process) fail(err error) {
	p.failure.CompareAndSwap(nil, &err)
	p.Stop()
}

// failureCause returns the error that fail recorded, or nil.
func (p *Process) failureCause() error {
	if err := p.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// drain marks the process as not ready and runs the drain steps. Signals are
// still handled: SIGUSR1 dumps the state, all others are logged and ignored.
func (p *Process) drain(signals <-chan os.Signal) error {
	p.draining.Store(true)
	began := time.Now()
	p.log.Info("drain started", "bound", p.cfg.DrainTimeout)
	p.metrics.scope.Counter("drains").Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DrainTimeout)
	defer cancel()
	done := make(chan error, 1)
	p.wg.Go(func() { done <- p.runSteps(ctx) })
	// Steps that honour their context end soon after the drain timeout; the
	// overrun timer stops waiting for those that don't.
	overrun := time.NewTimer(p.cfg.DrainTimeout + p.stopTimeout)
	defer overrun.Stop()
	for {
		select {
		case err := <-done:
			p.log.Info("drain ended", "took", time.Since(began), "error", err)
			return err
		case <-overrun.C:
			p.log.Error("drain not complete at its deadline", "took", time.Since(began))
			return errors.New("drain: a step did not end before the deadline")
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				p.logDump()
				continue
			}
			p.log.Warn("signal ignored during the drain", "signal", s.String())
		}
	}
}

// runSteps runs every step, also after one has failed.
func (p *Process) runSteps(ctx context.Context) error {
	var errs []error
	for _, s := range p.steps {
		var err error
		if r := panics.Try(func() { err = s.run(ctx) }); r != nil {
			err = r.AsError()
		}
		if err != nil {
			p.log.Error("drain step failed", "step", s.name, "error", err)
			errs = append(errs, fmt.Errorf("drain step %s: %w", s.name, err))
		}
	}
	return errors.Join(errs...)
}

// shutDown cancels the goroutines and waits for them, then closes the
// administration listener and the metrics. waitServed waits for the
// administration server to return.
func (p *Process) shutDown(waitServed func()) error {
	p.cancel()
	stopped := make(chan struct{})
	go func() {
		p.wg.Wait()
		close(stopped)
	}()
	var err error
	select {
	case <-stopped:
	case <-time.After(p.stopTimeout):
		err = fmt.Errorf("goroutines still running %v after the drain", p.stopTimeout)
		p.log.Error("goroutines left running", "error", err)
	}
	err = errors.Join(err, p.app.ShutdownWithTimeout(p.stopTimeout))
	_ = p.ln.Close() // stops a server that had not started yet when it was shut down
	waitServed()
	p.log.Info("process stopped")
	return errors.Join(err, p.metrics.close())
}

// GoUntilDrain runs f in a goroutine of the process and adds a drain step that
// cancels the context of f and waits for f to return. f must finish its work in
// progress before it returns.
func (p *Process) GoUntilDrain(name, drainStep string, f func(context.Context) error) {
	runCtx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	p.Go(name, func(context.Context) error {
		defer close(ended)
		return f(runCtx)
	})
	p.OnDrain(drainStep, func(ctx context.Context) error {
		stop()
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}
