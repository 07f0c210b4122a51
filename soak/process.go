package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// router is a router process with the settings to start it again.
type router struct {
	name, dir, program    string
	callers, ready, peers string // addresses
	settingsPath          string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var settingsTemplate = template.Must(template.New("settings").Parse(`name = "{{.Name}}"
centre = "{{.Centre}}"
callers = "{{.Callers}}"
ready = "{{.Ready}}"
peers = "{{.Peers}}"
admin = "{{.Admin}}"
store = "{{.Store}}"
seeds = [{{range .Seeds}}"{{.}}", {{end}}]
memory = {{.Memory}}
files = 4096
stop = {{.Stop}}
retries = 0.2
slack = 50

[centres]
a = "east"
b = "east"
c = "east"
`))

// stopSeconds is the time in seconds from SIGTERM until the process is killed. The routers
// get it as their stop setting.
const stopSeconds = 5

// newRouter writes the settings file of a router into dir. addrs holds its callers, ready,
// peers and admin addresses, in this order.
func newRouter(name, centre, dir, program, store string, addrs []string, seeds []string) (r *router, err error) {
	r = &router{name: name, dir: dir, program: program, callers: addrs[0], ready: addrs[1], peers: addrs[2], settingsPath: filepath.Join(dir, name+".toml")}
	f, err := os.Create(r.settingsPath)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return r, settingsTemplate.Execute(f, map[string]any{
		"Name": name, "Centre": centre, "Callers": addrs[0], "Ready": addrs[1], "Peers": addrs[2], "Admin": addrs[3],
		"Store": store, "Seeds": seeds, "Stop": stopSeconds, "Memory": memoryMB,
	})
}

// start starts the process. Its output is appended to a log file in dir.
func (r *router) start() error {
	out, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd = exec.Command(r.program, "-settings", r.settingsPath)
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // so that no router outlives this process
	if err = r.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", r.name, err)
	}
	exited := make(chan struct{})
	r.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait() // the exit code of a killed process is of no interest
		close(exited)
	}(r.cmd)
	return nil
}

// signal sends a signal to the process, if it has been started.
func (r *router) signal(sig os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(sig) // the process may have exited
	}
}

// stop sends a signal to the process and waits until it exits. After timeout it kills the
// process, resuming it first in case it is paused.
func (r *router) stop(sig os.Signal, timeout time.Duration) {
	r.signal(sig)
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-exited
	}
}

// loopbackIP returns a loopback address that only this process gives to its routers.
// Connections to loopback addresses come from 127.0.0.1, so none of them takes the port of
// a router that is stopped.
func loopbackIP() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(64|pid>>16&63), byte(pid>>8), byte(pid)).String()
}

// freeAddrs returns n free loopback addresses for the routers of a run.
func freeAddrs(n int) (addrs []string, err error) {
	var lns []net.Listener
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(loopbackIP(), "0"))
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

// Build compiles the router program into dir and returns its path.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "hbentry")
	out, err := exec.Command("go", "build", "-o", path, "hornbeamcove.example/entry/cmd/hbentry").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build router: %w: %s", err, out)
	}
	return path, nil
}
