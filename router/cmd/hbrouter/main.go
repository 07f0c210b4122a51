// Command hbrouter runs a router on an entry host.
package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/certs"
	"hornbeamcove.example/core/conf"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

func main() { proc.Exit("hbrouter", run(os.Args[1:])) }

func run(args []string) error {
	cfg, err := conf.LoadRouter(args, os.Stderr)
	if err != nil {
		return err
	}
	return proc.Serve(proc.Config{
		Name: cfg.Name, Role: wire.RoleRouter, LogLevel: string(cfg.Level), AdminAddr: cfg.Admin, CredentialHash: cfg.Secret,
		DrainTimeout: time.Duration(cfg.Drain) * time.Millisecond, LogOutput: os.Stdout,
	}, func(p *proc.Process) error { return start(p, &cfg) })
}

// start creates the router and its listeners from the settings and registers them
// with the process.
func start(p *proc.Process, cfg *conf.Router) (err error) {
	files := certs.Settings{Cert: cfg.TLS.Cert, Key: cfg.TLS.Key, Authority: cfg.TLS.Authority}
	src, err := certs.Open(files, certs.Identity{Role: wire.RoleRouter, Centre: cfg.Centre, Name: cfg.Name})
	if err != nil {
		return err
	}
	src.OnRefuse(func(err error) { p.Log().Warn("peer refused", "err", err) })
	inc := wire.Incarnation(uuid.NewString())
	hello := wire.Hello{Role: wire.RoleRouter, Name: cfg.Name, Centre: cfg.Centre, Incarnation: inc, Version: link.Version}
	q, err := link.Listen(cfg.Peer, src, hello, wire.RoleRouter)
	if err != nil {
		return err
	}
	p.Log().Info("listening", "peer", q.Addr())
	peers, err := peerAddresses(cfg)
	if err != nil {
		return err
	}
	client := newPlatform(cfg)
	book := acct.NewBook(acct.WithLogger(p.Log()), acct.WithScope(p.Scope()))
	r := router.New(router.Config{
		Name: cfg.Name, Centre: cfg.Centre, Region: cfg.Region, Peers: peers, MaxInFlight: int(cfg.Flight), MaxQueued: cfg.Queue,
		Linger: time.Duration(cfg.Linger) * time.Millisecond,
	}, q, q, router.WithPlatform(client), router.WithLogger(p.Log()), router.WithIncarnation(inc),
		router.WithAccounts(book), router.WithScope(p.Scope()))
	r.Routes(p.Admin())
	p.AddReady("router", r.Ready)
	p.AddDumper("router", r)
	p.AddDumper("accounts", book)
	p.Go("accounts", book.Run)
	p.Go("certificates", func(ctx context.Context) error { return src.Watch(ctx, files, p.LogTLSReload) })
	return serve(p, r, client, cfg)
}

// platform reads tickets and the host list, which two services may provide.
type platform struct {
	*plat.Client
	hosts *plat.Client
}

func newPlatform(cfg *conf.Router) *platform {
	p := &platform{Client: plat.NewClient(cfg.Platform)}
	p.hosts = p.Client
	if cfg.Hosts != "" {
		p.hosts = plat.NewClient(cfg.Hosts)
	}
	return p
}

// Hosts implements router.Platform.
func (p *platform) Hosts(ctx context.Context) ([]plat.Host, int, error) { return p.hosts.Hosts(ctx) }

func (p *platform) close() {
	p.Client.Close()
	p.hosts.Close()
}

// serve starts the callers' listener and the router. It registers the steps of the
// drain: the router ends its requests, then the listener is closed.
func serve(p *proc.Process, r *router.Router, client *platform, cfg *conf.Router) error {
	ln, err := net.Listen("tcp", string(cfg.Callers))
	if err != nil {
		return err
	}
	p.Log().Info("listening", "callers", ln.Addr().String())
	app := r.App()
	p.Go("callers", func(context.Context) error {
		return app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	})
	drain := time.Duration(cfg.Drain) * time.Millisecond
	p.GoUntilDrain("router", "requests", func(ctx context.Context) error { return r.Run(ctx, drain) })
	p.OnDrain("callers", func(ctx context.Context) error {
		client.close()
		return app.ShutdownWithContext(ctx)
	})
	return nil
}

// peerAddresses returns the addresses of the peers in the settings.
func peerAddresses(cfg *conf.Router) (out []wire.Address, err error) {
	for i := range cfg.Peers {
		_, addr, err := cfg.PeerAt(i)
		if err != nil {
			return nil, err
		}
		out = append(out, addr)
	}
	return out, nil
}
