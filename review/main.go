// Command standin plays one case of the review: it starts routers as processes of their own and
// stands in for the platform's store, the replicas and the clients. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "9dnn2ctnfzs989anu6ws"

// world is a small deployment.
type world struct {
	dir     string // temporary folder
	rec     *record
	st      *store
	path    *proxy // between the routers and the store
	routers []*router
	trouble bool
	wg      sync.WaitGroup // clients
}

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(*world) (held bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	out := flag.String("record", "record.txt", "file to write")
	keep := flag.Bool("keep", false, "keep the temporary folder with the routers' logs")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	if *keep {
		fmt.Println("temporary folder", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	w := &world{dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer w.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := play(w)
		done <- result{held, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.say("could not run: %v", r.err)
			return 2
		case r.held:
			rec.say("the rule held")
			return 0
		}
		rec.say("the rule was broken")
		return 1
	case <-stop:
		rec.say("could not run: stopped by a signal")
	case <-time.After(115 * time.Second):
		rec.say("could not run: out of time")
	}
	return 2
}

func (w *world) end() {
	for _, r := range w.routers {
		r.kill()
	}
}

// begin starts the store and n routers, which it waits for, with the given configuration and
// replicas.
func (w *world) begin(n int, config map[string]any, replicas func() []*replica) (err error) {
	if w.st, err = newStore(w.rec); err != nil {
		return err
	}
	w.st.put("op/config", config)
	for _, p := range replicas() {
		p.st, p.rec = w.st, w.rec
		if err = p.start(); err != nil {
			return err
		}
		w.rec.add("replica %s of %s in %s listens on %s", p.id, p.service, p.zone, p.addr)
	}
	if _, err = os.Stat(filepath.Join("target", "hbentry")); err != nil {
		return err
	}
	if w.path, err = newProxy(w.st.addr()); err != nil {
		return err
	}
	if w.routers, err = newRouters(w.dir, w.path.addr(), n); err != nil {
		return err
	}
	for _, r := range w.routers {
		if err = r.start(); err != nil {
			return err
		}
		w.rec.add("router %s started, callers on %s", r.name, r.callers)
	}
	for _, r := range w.routers {
		if err = r.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // they find each other
	return nil
}

// limits and tenants are parts of all configurations.
var (
	limits  = map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	tenants = []any{map[string]any{"name": "bozi300", "api_keys": []string{apiKey}, "priority": 1}}
)
