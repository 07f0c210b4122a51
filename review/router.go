package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is one process of the system.
type router struct {
	name, zone                   string
	callers, ready, peers, admin string
	settings                     string
	cmd                          *exec.Cmd
}

// zones are the data centres of the small deployment.
var zones = []string{"palermo", "catania", "siracusa"}

// newRouters writes the settings of one router for each name, as deploy/settings.toml gives them
// for a machine of class frontend of aquilone-rete. The first three are the seeds.
func newRouters(dir, storeAddr string, n int) ([]*router, error) {
	addrs, err := freeAddrs(4 * n)
	if err != nil {
		return nil, err
	}
	var rs []*router
	var seeds []string
	for i := range n {
		z := zones[i%len(zones)]
		a := addrs[4*i:]
		r := &router{name: fmt.Sprintf("frontend-%s-%d", z, i/len(zones)+1), zone: z, callers: a[0], ready: a[1], peers: a[2], admin: a[3]}
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", r.peers))
		}
		rs = append(rs, r)
	}
	for _, r := range rs {
		var b strings.Builder
		fmt.Fprintf(&b, "name = %q\ncentre = %q\ncallers = %q\nready = %q\npeers = %q\nadmin = %q\nstore = %q\nseeds = [%s]\n",
			r.name, r.zone, r.callers, r.ready, r.peers, r.admin, storeAddr, strings.Join(seeds, ", "))
		fmt.Fprintf(&b, "cores = 0.304\nmemory = 284\nfiles = 4100\nstop = 8\nretries = 0.2\nslack = 52\nlevel = \"info\"\n\n[centres]\n")
		for _, z := range zones {
			fmt.Fprintf(&b, "%q = \"sicilia\"\n", z)
		}
		r.settings = filepath.Join(dir, r.name+".toml")
		if err := os.WriteFile(r.settings, []byte(b.String()), 0o600); err != nil {
			return nil, err
		}
	}
	return rs, nil
}

// freeAddrs returns addresses of 127.0.0.1 that are free at the moment. Their ports are below those
// that the kernel gives to connections, so that they stay free until the routers listen on them.
func freeAddrs(n int) (addrs []string, err error) {
	const lowest, highest = 12000, 32000
	for range 100 * n {
		if len(addrs) == n {
			return addrs, nil
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest)))
		if err != nil {
			continue
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return nil, errors.New("no free ports")
}

// start runs the program with the command of the deploy file.
func (r *router) start() error {
	log, err := os.OpenFile(strings.TrimSuffix(r.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command("target/hbentry")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMCOVE_SETTINGS=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	return r.cmd.Start()
}

func (r *router) signal(s syscall.Signal) {
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for it.
func (r *router) kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
	r.cmd = nil
}

// waitReady waits until the router answers the balancer's question with 200.
func (r *router) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok := isReady(r.ready); ok {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", r.name)
}
