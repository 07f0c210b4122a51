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

func (p *Process) failureCause() error {
	if err := p.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// drain turns readiness off and runs the steps. Signals are served meanwhile:
// SIGUSR1 still dumps the state, another SIGTERM changes nothing.
func (p *Process) drain(signals <-chan os.Signal) error {
	p.draining.Store(true)
	began := time.Now()
	p.log.Info("drain started", "bound", p.cfg.DrainTimeout)
	p.metrics.scope.Counter("drains").Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DrainTimeout)
	defer cancel()
	done := make(chan error, 1)
	p.wg.Go(func() { done <- p.runSteps(ctx) })
	// Steps that honour their context end soon after the bound.
	grace := time.NewTimer(p.cfg.DrainTimeout + p.stopTimeout)
	defer grace.Stop()
	for {
		select {
		case err := <-done:
			p.log.Info("drain ended", "took", time.Since(began), "error", err)
			return err
		case <-grace.C:
			p.log.Error("drain left incomplete", "took", time.Since(began))
			return errors.New("drain: a step did not end at the bound")
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
	var faults []error
	for _, s := range p.steps {
		var err error
		if r := panics.Try(func() { err = s.run(ctx) }); r != nil {
			err = r.AsError()
		}
		if err != nil {
			p.log.Error("drain step failed", "step", s.name, "error", err)
			faults = append(faults, fmt.Errorf("drain step %s: %w", s.name, err))
		}
	}
	return errors.Join(faults...)
}

// shutDown ends all goroutines and closes the administration listener.
func (p *Process) shutDown(served func()) error {
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
		err = fmt.Errorf("goroutines still run %v after the drain", p.stopTimeout)
		p.log.Error("goroutines left running", "error", err)
	}
	err = errors.Join(err, p.app.ShutdownWithTimeout(p.stopTimeout))
	_ = p.ln.Close() // ends a server that had not started when it was shut down
	served()
	p.log.Info("process stopped")
	return errors.Join(err, p.metrics.close())
}

// GoUntilDrain runs f in a goroutine of the process and adds a drain step that ends the
// context of f and waits for f, which finishes its work under way before it
// returns.
func (p *Process) GoUntilDrain(name, step string, f func(context.Context) error) {
	live, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	p.Go(name, func(context.Context) error {
		defer close(ended)
		return f(live)
	})
	p.OnDrain(step, func(ctx context.Context) error {
		stop()
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}
