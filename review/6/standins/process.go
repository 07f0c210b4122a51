package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/hbentry" // the command of the role in deploy/system.toml
	// memoryMB, graceS and the rest of the settings are those of sites/aquilone-rete.toml, filled into
	// deploy/settings.toml.
	memoryMB = 284
	graceS   = 8
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	memoryPoll   = 20 * time.Millisecond
)

// daemon is a router of the system: a process that the platform starts again when it ends.
type daemon struct {
	name, zone                   string
	callers, ready, peers, admin string
	settings                     string
	rec                          *record
	mu                           sync.Mutex
	cmd                          *exec.Cmd
	stopped                      bool
	ends                         []end // of its own
	peakMB                       int
	supervised                   sync.WaitGroup
}

// end is the end of a process that the test did not ask for.
type end struct {
	at  time.Time
	why string
}

// startDaemons starts one router in each zone.
func startDaemons(dir, storeAddr string, rec *record) ([]*daemon, error) {
	addrs, err := freeAddrs(4 * len(zones))
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range zones {
		seeds = append(seeds, strconv.Quote(addrs[4*i+2]))
	}
	var ds []*daemon
	for i, z := range zones {
		a := addrs[4*i:]
		d := &daemon{name: "frontend-" + z + "-1", zone: z, callers: a[0], ready: a[1], peers: a[2], admin: a[3], rec: rec}
		d.settings = filepath.Join(dir, d.name+".toml")
		text := fmt.Sprintf("name = %q\ncentre = %q\ncallers = %q\nready = %q\npeers = %q\nadmin = %q\nstore = %q\nseeds = [%s]\ncores = 0.304\nmemory = %d\nfiles = 4100\nstop = %d\nretries = 0.2\nslack = 52\nlevel = \"info\"\nshares = true\n\n[centres]\n",
			d.name, d.zone, d.callers, d.ready, d.peers, d.admin, storeAddr, strings.Join(seeds, ", "), memoryMB, graceS)
		for _, z := range zones {
			text += fmt.Sprintf("%q = \"sicilia\"\n", z)
		}
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		ds = append(ds, d)
	}
	for _, d := range ds {
		if err := d.start(); err != nil {
			return ds, err
		}
	}
	return ds, nil
}

// freeAddrs returns n free loopback addresses. Connections to loopback addresses come from 127.0.0.1,
// so none of them takes a port of these.
func freeAddrs(n int) (addrs []string, err error) {
	var lns []net.Listener
	for range n {
		ln, err := net.Listen("tcp", listenHost+":0")
		if err != nil {
			return nil, err
		}
		lns = append(lns, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	for _, ln := range lns {
		_ = ln.Close()
	}
	return addrs, nil
}

func (d *daemon) start() error {
	out, err := os.OpenFile(strings.TrimSuffix(d.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMCOVE_SETTINGS=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.supervised.Add(1)
	d.mu.Lock()
	d.cmd = cmd
	if d.stopped {
		_ = cmd.Process.Kill()
	}
	d.mu.Unlock()
	go d.supervise(cmd)
	return nil
}

// supervise does what the platform does with a process: it kills one that exceeds its memory, and
// starts one that has ended again.
func (d *daemon) supervise(cmd *exec.Cmd) {
	defer d.supervised.Done()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	why := ""
	for {
		select {
		case err := <-ended:
			if why == "" {
				why = fmt.Sprint("exit: ", err)
			}
			d.mu.Lock()
			stopped := d.stopped
			if !stopped {
				d.ends = append(d.ends, end{time.Now(), why})
			}
			d.mu.Unlock()
			if stopped {
				return
			}
			d.rec.note("%s: the process ended by itself: %s", d.name, why)
			time.Sleep(restartDelay)
			if err := d.start(); err != nil {
				d.rec.note("%s: not started again: %v", d.name, err)
			}
			return
		case <-time.After(memoryPoll):
			mb := residentMB(cmd.Process.Pid)
			d.mu.Lock()
			d.peakMB = max(d.peakMB, mb)
			d.mu.Unlock()
			if mb > memoryMB && why == "" {
				why = fmt.Sprintf("killed by the platform at %d MB, over its memory_mb of %d", mb, memoryMB)
				_ = cmd.Process.Kill()
			}
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() / (1 << 20)
}

// signal sends a signal to the process.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(sig)
}

// stop ends the process for good.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopped = true
	if d.cmd != nil {
		_ = d.cmd.Process.Kill()
	}
	d.mu.Unlock()
	d.supervised.Wait()
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all daemons say that they are ready.
func waitReady(ds []*daemon) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range ds {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(ds) {
			return true
		}
	}
	return false
}
