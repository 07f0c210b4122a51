// Command hbagent runs an agent beside one upstream.
package main

import (
	"context"
	"os"
	"time"

	"hornbeamcove.example/agent"
	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/certs"
	"hornbeamcove.example/core/conf"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/proc"
	"hornbeamcove.example/core/wire"
)

// initialBounds are the concurrency limits until a router has sent the upstream's
// object.
var initialBounds = limit.Bounds{Warm: 1, Cold: 1}

func main() { proc.Exit("hbagent", run(os.Args[1:])) }

// run loads the configuration and serves until the process is told to stop.
func run(args []string) error {
	cfg, err := conf.LoadAgent(args, os.Stderr)
	if err != nil {
		return err
	}
	return proc.Serve(proc.Config{
		Name: cfg.Name, Role: wire.RoleAgent, LogLevel: string(cfg.Level), AdminAddr: cfg.Admin, CredentialHash: cfg.Secret,
		DrainTimeout: time.Duration(cfg.Drain) * time.Millisecond, LogOutput: os.Stdout,
	}, func(p *proc.Process) error { return start(p, &cfg) })
}

// start opens the agent's listener and registers its work with p.
func start(p *proc.Process, cfg *conf.Agent) (err error) {
	files := certs.Settings{Cert: cfg.TLS.Cert, Key: cfg.TLS.Key, Authority: cfg.TLS.Authority}
	src, err := certs.Open(files, certs.Identity{Role: wire.RoleAgent, Centre: cfg.Centre, Name: cfg.Name})
	if err != nil {
		return err
	}
	src.OnRefuse(func(err error) { p.Log().Warn("peer refused", "err", err) })
	up, err := agent.NewHTTP(cfg.Kind, cfg.URL)
	if err != nil {
		return err
	}
	inc := agent.NewIncarnation()
	hello := wire.Hello{Role: wire.RoleAgent, Name: cfg.Name, Centre: cfg.Centre, Incarnation: inc, Version: link.Version}
	ln, err := link.Listen(cfg.Listen, src, hello, wire.RoleRouter)
	if err != nil {
		return err
	}
	p.Log().Info("listening", "routers", ln.Addr())
	book := acct.NewBook(acct.WithLogger(p.Log()), acct.WithScope(p.Scope()))
	a := agent.New(agent.Config{
		Name: cfg.Name, Upstream: cfg.Upstream, Centre: cfg.Centre, Kind: cfg.Kind, Bounds: initialBounds,
	}, up, ln, agent.WithLogger(p.Log()), agent.WithIncarnation(inc), agent.WithAccounts(book))
	a.Export(p.Scope())
	p.AddReady("agent", a.Ready)
	a.Routes(p.Admin())
	p.AddDumper("agent", a)
	p.AddDumper("accounts", book)
	p.Go("accounts", book.Run)
	p.Go("certificates", func(ctx context.Context) error { return src.Watch(ctx, files, p.LogTLSReload) })
	drain := time.Duration(cfg.Drain) * time.Millisecond
	p.GoUntilDrain("agent", "calls", func(ctx context.Context) error { return a.Run(ctx, drain) })
	return nil
}
