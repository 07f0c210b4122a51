package cove_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/cove"
	"hornbeamcove.example/demo/local"
	"hornbeamcove.example/fakes"
	"hornbeamcove.example/router"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cove": func() {
			os.Exit(cove.Run(context.Background(), os.Args[1:], cove.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
		},
	})
}

// TestScripts guards against wrong exit codes, sums that leave out a router
// silently, a check that misstates a ticket, and a drain that ends too early.
// Each script has a fleet of its own with real sockets.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", Setup: setup, RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits, "post": post, "publish": publish, "hold": hold, "work": work, "stop": stop,
		},
	})
}

type fleetKey struct{}

func fleetOf(ts *testscript.TestScript) *local.Fleet { return ts.Value(fleetKey{}).(*local.Fleet) }

func setup(env *testscript.Env) error {
	spec := local.ExampleSpec(time.Millisecond)
	spec.Centres = spec.Centres[:2]
	for i := range spec.Pools {
		spec.Pools[i].PerCentre = 1
	}
	for id, p := range spec.Pipelines {
		p.Deadline = 60_000 // the drain's script holds requests for some seconds
		spec.Pipelines[id] = p
	}
	spec.Admin = &local.Admin{Credential: "operator"}
	f, err := local.Start(context.Background(), spec)
	if err != nil {
		return err
	}
	env.Defer(func() {
		if err := f.Close(); err != nil {
			env.T().Fatal(err)
		}
	})
	env.Values[fleetKey{}] = f
	env.Setenv("R1", string(f.Routers[0].Admin))
	env.Setenv("R2", string(f.Routers[1].Admin))
	env.Setenv("AGENT", string(f.Upstreams[0].Admin))
	env.Setenv("COVE_ROUTER", env.Getenv("R1")+","+env.Getenv("R2"))
	env.Setenv("COVE_CREDENTIAL", "operator")
	return nil
}

// exits runs a command and checks its exit code: exits CODE cove ARG...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var ee *exec.ExitError
	if errors.As(err, &ee) {
		got = ee.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// post sends a request with a key to each router: post KEY PIPELINE TOKENS
func post(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[2])
	ts.Check(err)
	for _, r := range fleetOf(ts).Routers {
		_, err := local.Post(context.Background(), r.URL, local.Call{
			Key: args[0], Pipeline: wire.PipelineID(args[1]), Body: map[string]any{"prompt": "p", "max_tokens": n},
		})
		ts.Check(err)
	}
}

// publish publishes a ticket file and waits until the routers have it.
func publish(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	t, err := ticket.Parse([]byte(ts.ReadFile(args[0])))
	ts.Check(err)
	_, err = f.Config.Publish(t)
	ts.Check(err)
	ts.Check(f.Await(context.Background(), func() error {
		for _, r := range f.Routers {
			d := r.Dump().(router.Dump)
			refused := slices.ContainsFunc(d.Rejected, func(x admin.Rejection) bool { return x.Number == t.Number })
			if d.Head < t.Number && !refused {
				return fmt.Errorf("router %s has ticket %d", r.Name, d.Head)
			}
		}
		return nil
	}))
}

// hold stops the engines' token production, or ends such a stop: hold on|off
func hold(ts *testscript.TestScript, _ bool, args []string) {
	on := args[0] == "on"
	for _, u := range fleetOf(ts).Upstreams {
		if u.Engine != nil {
			ts.Check(u.Engine.Apply(fakes.Fault{Hold: &on}))
		}
	}
}

// work starts requests that last until the engines go on, and waits until a
// router has some of them in each data centre: work COUNT
func work(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	f := fleetOf(ts)
	for range n {
		for _, r := range f.Routers {
			go func() {
				_, _ = local.Post(context.Background(), r.URL, local.Call{
					Key: "folders-key", Pipeline: local.FoldPlan, Body: map[string]any{"prompt": "p", "max_tokens": 4},
				})
			}()
		}
	}
	ts.Check(f.Await(context.Background(), func() error {
		for _, m := range f.Routers[0].Members() {
			if m.Pool == "assistants" && m.OwnInFlight == 0 {
				return fmt.Errorf("no work on %s", m.Upstream)
			}
		}
		return nil
	}))
}

// stop stops a router with its administration listener: stop INDEX
func stop(ts *testscript.TestScript, _ bool, args []string) {
	i, err := strconv.Atoi(args[0])
	ts.Check(err)
	f := fleetOf(ts)
	if i >= len(f.Routers) {
		ts.Check(fmt.Errorf("router %d: want less than %d", i, len(f.Routers)))
	}
	f.Routers[i].Stop()
}
