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

// router is a router process and what is needed to start it again.
type router struct {
	name, dir, program    string
	callers, ready, peers string
	settingsPath          string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	claimed bool // by a fault that it belongs to
}

var settingsTemplate = template.Must(template.New("settings").Parse(`name = "{{.Name}}"
centre = "{{.Centre}}"
callers = "{{.Callers}}"
ready = "{{.Ready}}"
peers = "{{.Peers}}"
admin = "{{.Admin}}"
store = "{{.Store}}"
seeds = [{{range .Seeds}}"{{.}}", {{end}}]
memory = 284
files = 4096
stop = {{.Stop}}
retries = 0.2
slack = 50

[centres]
a = "east"
b = "east"
c = "east"
`))

// stopSeconds is the time in seconds from SIGTERM to SIGKILL that routers are told.
const stopSeconds = 5

func newRouter(name, centre, dir, program, store string, ports []string, seeds []string) (r *router, err error) {
	r = &router{name: name, dir: dir, program: program, callers: ports[0], ready: ports[1], peers: ports[2], settingsPath: filepath.Join(dir, name+".toml")}
	f, err := os.Create(r.settingsPath)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return r, settingsTemplate.Execute(f, map[string]any{
		"Name": name, "Centre": centre, "Callers": ports[0], "Ready": ports[1], "Peers": ports[2], "Admin": ports[3],
		"Store": store, "Seeds": seeds, "Stop": stopSeconds,
	})
}

// start starts the process. Its log is appended to a file.
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
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left running
	if err = r.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", r.name, err)
	}
	ended := make(chan struct{})
	r.exited = ended
	go func(c *exec.Cmd) {
		_ = c.Wait() // the exit code of a killed process says nothing
		close(ended)
	}(r.cmd)
	return nil
}

// signal sends a signal to the process that start started.
func (r *router) signal(s os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s) // it may have ended
	}
}

// stop ends the process with a signal, kills it after limit, and waits for its end.
func (r *router) stop(s os.Signal, limit time.Duration) {
	r.signal(s)
	r.mu.Lock()
	ended := r.exited
	r.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-ended
	}
}

// freeAddrs returns addresses on loopback that were free a moment ago.
func freeAddrs(n int) (addrs []string, err error) {
	var lns []net.Listener
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
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

// Build compiles the router's program into dir and returns its path.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "hbentry")
	out, err := exec.Command("go", "build", "-o", path, "hornbeamcove.example/entry/cmd/hbentry").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build router: %w: %s", err, out)
	}
	return path, nil
}
