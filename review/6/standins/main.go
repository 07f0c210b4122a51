// Command standins plays the cases of the second review that can't be put as a day of the bench: it starts
// the system's routers as processes, with stand-ins for the platform, the replicas and the clients, and
// checks what these have seen.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// listenHost is the address of all listeners, and zones are the places of the deployment.
const listenHost = "127.0.0.9"

var zones = []string{"palermo", "catania", "siracusa"}

// world is one run of a case.
type world struct {
	*platform
	daemons []*daemon
	trouble bool
	dir     string          // for settings and logs
	ctx     context.Context // of the clients
	clients sync.WaitGroup
}

// Exit codes.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxTime  = 115 * time.Second
	envQuiet = "0" // value of TROUBLE that leaves the disruption out
)

// cases play a case and return whether the rule was broken.
var cases = map[string]func(w *world) (code int){
	"heads": playHeads,
	"moved": playMoved,
}

func main() {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(*name, *path))
}

func play(name, path string) (code int) {
	f := cases[name]
	if f == nil {
		fmt.Println("unknown case")
		return notRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer os.RemoveAll(dir)
	s, err := newStore()
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	w := &world{platform: &platform{store: s, rec: rec}, trouble: os.Getenv("TROUBLE") != envQuiet, dir: dir}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.ctx = ctx
	defer func() {
		for _, d := range w.daemons {
			d.stop()
		}
	}()
	time.AfterFunc(maxTime, func() {
		for _, d := range w.daemons {
			d.stop()
		}
		os.Exit(notRun)
	})
	code = f(w)
	cancel()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	return code
}

// startSystem writes the configuration, starts the daemons and waits until they are ready.
func (w *world) startSystem(config any) bool {
	w.store.put("op/config", config)
	var err error
	if w.daemons, err = startDaemons(w.dir, w.store.addr, w.rec); err != nil {
		w.rec.note("the daemons were not started: %v", err)
		return false
	}
	if !waitReady(w.daemons) {
		w.rec.note("the daemons are not ready")
		return false
	}
	return true
}

// startClients starts n clients of a kind at each daemon.
func (w *world) startClients(k kind, n int) {
	for _, d := range w.daemons {
		for i := range n {
			c := &client{k: k, d: d, rec: w.rec}
			w.clients.Add(1)
			go func() {
				defer w.clients.Done()
				c.run(w.ctx, time.Duration(i)*137*time.Millisecond)
			}()
		}
	}
}
