package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"hornbeamcove.example/agent"
	"hornbeamcove.example/core/certs"
	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

const (
	loopback     = "127.0.0.1:0"
	certLifetime = time.Hour
	drainTimeout = 5 * time.Second
)

// testbed runs routers and agents on loopback sockets until it is closed.
type testbed struct {
	authority *certs.Authority
	ctx       context.Context
	stop      context.CancelFunc
	wg        conc.WaitGroup

	mu   sync.Mutex
	errs []error
}

func newTestbed(ctx context.Context) (*testbed, error) {
	a, err := certs.NewAuthority()
	if err != nil {
		return nil, err
	}
	b := &testbed{authority: a}
	b.ctx, b.stop = context.WithCancel(ctx)
	return b, nil
}

// close drains all processes and returns their errors.
func (b *testbed) close() error {
	b.stop()
	b.wg.Wait()
	return errors.Join(b.errs...)
}

// start runs a process until the bed closes.
func (b *testbed) start(run func(context.Context, time.Duration) error) {
	b.wg.Go(func() {
		if err := run(b.ctx, drainTimeout); err != nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.errs = append(b.errs, err)
		}
	})
}

// listen opens the socket of a process.
func (b *testbed) listen(role wire.Role, at wire.DataCentreID, name wire.HostID) (*link.QUIC, wire.Hello, error) {
	h := wire.Hello{Role: role, Name: name, Centre: at, Incarnation: agent.NewIncarnation(), Epoch: 1, Version: link.Version}
	m, err := b.authority.Issue(certs.Identity{Role: role, Centre: at, Name: name}, time.Now().Add(certLifetime))
	if err != nil {
		return nil, h, err
	}
	src, err := certs.NewSource(m)
	if err != nil {
		return nil, h, err
	}
	q, err := link.Listen(loopback, src, h, wire.RoleRouter)
	return q, h, err
}

// addAgent runs an agent for upstream i of a roster.
func (b *testbed) addAgent(r configSpec, i int, up agent.Upstream) (*link.QUIC, error) {
	o := r.upstream(i, "")
	q, h, err := b.listen(wire.RoleAgent, o.Upstream.Centre, wire.HostID(o.Name))
	if err != nil {
		return nil, err
	}
	a := agent.New(agent.Config{
		Name: h.Name, Upstream: wire.UpstreamID(o.Name), Centre: h.Centre, Kind: o.Upstream.Kind, Bounds: limit.Bounds{Warm: 16, Cold: 4},
	}, up, q, agent.WithIncarnation(h.Incarnation))
	b.start(a.Run)
	return q, nil
}

// addRouter runs router i.
func (b *testbed) addRouter(i int, p router.Platform, peers []wire.Address, l *log.Logger) (*router.Router, *link.QUIC, error) {
	q, h, err := b.listen(wire.RoleRouter, centreName(i), routerName(i))
	if err != nil {
		return nil, nil, err
	}
	cfg := router.Config{Name: h.Name, Centre: h.Centre, Region: centreRegion(i), Peers: peers}
	rt := router.New(cfg, q, q, router.WithPlatform(p), router.WithIncarnation(h.Incarnation), router.WithLogger(l))
	b.start(rt.Run)
	return rt, q, nil
}

func discardLogger() *log.Logger { return log.New(io.Discard) }

// idleUpstream is an upstream that is always idle.
type idleUpstream struct{}

// Run implements agent.Upstream.
func (idleUpstream) Run(context.Context, *wire.Call, func([]byte) error) (agent.Answer, error) {
	return agent.Answer{Output: []byte("{}")}, nil
}

// Load implements agent.Upstream.
func (idleUpstream) Load(context.Context) (limit.LoadReport, agent.Loaded, error) {
	return limit.LoadReport{Boot: "boot"}, agent.Loaded{}, nil
}

// Order implements agent.Upstream.
func (idleUpstream) Order(context.Context, agent.Order) error { return nil }

// Prefixes implements agent.Upstream.
func (idleUpstream) Prefixes() []wire.Fingerprint { return nil }

// sleep waits for d or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return fmt.Errorf("wait of %s: %w", d, ctx.Err())
	}
	return nil
}
