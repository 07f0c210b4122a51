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
	loopback     = "127.0.0.1:0" // a free port
	certLifetime = time.Hour
	drainTimeout = 5 * time.Second
)

// testbed runs routers and agents in this process, on loopback sockets, until it is
// closed.
type testbed struct {
	authority *certs.Authority
	ctx       context.Context
	stop      context.CancelFunc
	wg        conc.WaitGroup

	mu   sync.Mutex // guards errs
	errs []error    // errors of routers and agents, which close returns
}

// newTestbed returns an empty testbed that also stops when ctx ends.
func newTestbed(ctx context.Context) (*testbed, error) {
	a, err := certs.NewAuthority()
	if err != nil {
		return nil, err
	}
	tb := &testbed{authority: a}
	tb.ctx, tb.stop = context.WithCancel(ctx)
	return tb, nil
}

// close stops all routers and agents, waits until they have drained and returns
// their errors.
func (tb *testbed) close() error {
	tb.stop()
	tb.wg.Wait()
	return errors.Join(tb.errs...)
}

// start runs a router or an agent in the background until the testbed is closed.
func (tb *testbed) start(run func(context.Context, time.Duration) error) {
	tb.wg.Go(func() {
		if err := run(tb.ctx, drainTimeout); err != nil {
			tb.mu.Lock()
			defer tb.mu.Unlock()
			tb.errs = append(tb.errs, err)
		}
	})
}

// listen issues a certificate for a router or an agent and opens its socket on the
// loopback interface. Only routers may connect to it.
func (tb *testbed) listen(role wire.Role, dataCentre wire.DataCentreID, name wire.HostID) (*link.QUIC, wire.Hello, error) {
	h := wire.Hello{Role: role, Name: name, Centre: dataCentre, Incarnation: agent.NewIncarnation(), Epoch: 1, Version: link.Version}
	material, err := tb.authority.Issue(certs.Identity{Role: role, Centre: dataCentre, Name: name}, time.Now().Add(certLifetime))
	if err != nil {
		return nil, h, err
	}
	src, err := certs.NewSource(material)
	if err != nil {
		return nil, h, err
	}
	q, err := link.Listen(loopback, src, h, wire.RoleRouter)
	return q, h, err
}

// addAgent runs an agent for upstream i of a configuration.
func (tb *testbed) addAgent(spec configSpec, i int, upstream agent.Upstream) (*link.QUIC, error) {
	o := spec.upstream(i, "")
	q, h, err := tb.listen(wire.RoleAgent, o.Upstream.Centre, wire.HostID(o.Name))
	if err != nil {
		return nil, err
	}
	a := agent.New(agent.Config{
		Name: h.Name, Upstream: wire.UpstreamID(o.Name), Centre: h.Centre, Kind: o.Upstream.Kind, Bounds: limit.Bounds{Warm: 16, Cold: 4},
	}, upstream, q, agent.WithIncarnation(h.Incarnation))
	tb.start(a.Run)
	return q, nil
}

// addRouter runs router i and returns it with its socket.
func (tb *testbed) addRouter(i int, platformClient router.Platform, peers []wire.Address, logger *log.Logger) (*router.Router, *link.QUIC, error) {
	q, h, err := tb.listen(wire.RoleRouter, centreName(i), routerName(i))
	if err != nil {
		return nil, nil, err
	}
	cfg := router.Config{Name: h.Name, Centre: h.Centre, Region: centreRegion(i), Peers: peers}
	rt := router.New(cfg, q, q, router.WithPlatform(platformClient), router.WithIncarnation(h.Incarnation), router.WithLogger(logger))
	tb.start(rt.Run)
	return rt, q, nil
}

// discardLogger returns a logger without output.
func discardLogger() *log.Logger { return log.New(io.Discard) }

// idleUpstream is an upstream without load that answers each call with an empty
// JSON object.
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

// sleep waits for d. It returns an error when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return fmt.Errorf("wait of %s interrupted: %w", d, ctx.Err())
	}
	return nil
}
