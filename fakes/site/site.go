package site

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Site is a metadata store together with the replicas registered in it, all on the
// loopback interface. It is safe for concurrent use.
type Site struct {
	Store *Store

	ln     net.Listener
	srv    *http.Server
	closed atomic.Bool

	mu       sync.Mutex
	replicas []*Replica
	ports    []*Port // of all replicas, also those removed, whose address may still be in use
	runs     []*Run
}

// New starts a site whose store listens on a free port of 127.0.0.1.
func New() (*Site, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start site: %w", err)
	}
	s := &Site{Store: NewStore(), ln: ln}
	s.srv = &http.Server{Handler: s.Store}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// Addr returns the address of the store.
func (s *Site) Addr() string { return s.ln.Addr().String() }

// Add starts a replica on a free port and registers it in the store as ready.
func (s *Site) Add(p *Replica) error {
	p.Site = s
	p.Born = time.Now().UnixMilli()
	var err error
	if p.port, err = ReservePort(); err != nil {
		return fmt.Errorf("start replica %s: %w", p.ID, err)
	}
	s.mu.Lock()
	s.ports = append(s.ports, p.port)
	s.mu.Unlock()
	if err = p.start(); err != nil {
		return fmt.Errorf("start replica %s: %w", p.ID, err)
	}
	s.mu.Lock()
	s.replicas = append(s.replicas, p)
	s.mu.Unlock()
	s.Store.PutJSON("servers/"+p.ID, p.Entry("ready"))
	return nil
}

// Replicas returns the replicas of the site in the order in which they were added.
func (s *Site) Replicas() []*Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.replicas)
}

// Remove deletes a replica's entry in the store and stops it.
func (s *Site) Remove(p *Replica) {
	s.Store.Delete("servers/" + p.ID)
	s.mu.Lock()
	s.replicas = slices.DeleteFunc(s.replicas, func(q *Replica) bool { return q == p })
	s.mu.Unlock()
	p.stop()
}

// Close stops the store and all replicas.
func (s *Site) Close() error {
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.replicas {
		p.stop()
	}
	err := s.srv.Close()
	for _, port := range s.ports {
		err = errors.Join(err, port.Close())
	}
	return err
}

// Runs returns copies of the records of all requests that replicas received, in the order
// of arrival. Stage calls and requests that were turned away before their body was read
// are not recorded.
func (s *Site) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, len(s.runs))
	for i, r := range s.runs {
		out[i] = *r
	}
	return out
}

// begin appends r with the current time as its start and returns the stored record.
func (s *Site) begin(r Run) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Began = time.Now()
	s.runs = append(s.runs, &r)
	return &r
}

func (s *Site) end(r *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Ended = time.Now()
}

// markNotExecuted records that a request was rejected although its Action would run it.
func (s *Site) markNotExecuted(r *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Executed = false
}

// hasResults reports whether every handle in a comma-separated list names a stage result
// that some replica still holds.
func (s *Site) hasResults(handles string) bool {
	if handles == "" {
		return true
	}
	replicas := s.Replicas()
	for h := range strings.SplitSeq(handles, ",") {
		found := false
		for _, p := range replicas {
			found = found || p.hasResult(h)
		}
		if !found {
			return false
		}
	}
	return true
}

// Route is a route of the configuration that Config builds.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	Timeout, TargetLatency, TargetGap int // milliseconds
	Attempts, Priority                int
	Resume, Sticky, Anonymous         bool
	Stages                            []Stage
}

// Stage is one stage of a route with several services.
type Stage struct {
	Service string `json:"service"`
	After   []int  `json:"after"` // indexes of the stages whose results it needs
	Bytes   int    `json:"bytes"` // size of a result
}

// Service is a service of the configuration that Config builds.
type Service struct {
	Name   string
	Engine bool           // whether it streams tokens
	Pieces map[string]any // limits of a stage service in the operator's format; nil for others
}

// Services are the services of a small deployment: a plain one, an inference engine, and
// two stage services, of which archive takes few large pieces per call and school many
// small ones.
var Services = []Service{
	{Name: "desk"},
	{Name: "engine", Engine: true},
	{Name: "archive", Pieces: map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 20.0, "item_ms": 2.0, "headroom_mb": 44.0, "handle_s": 4.0}},
	{Name: "school", Pieces: map[string]any{"slots": 1, "queue": 2, "batch": 30, "call_ms": 20.0, "item_ms": 1.0, "headroom_mb": 5.4, "handle_s": 4.0}},
}

// Config returns a configuration in the operator's format. keys maps API keys to team
// names.
func Config(version int, routes []Route, services []Service, keys map[string]string) map[string]any {
	var rs, ss []map[string]any
	ts := []map[string]any{}
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": r.Prefix, "kind": r.Kind, "service": r.Service,
			"timeout_ms": r.Timeout, "target_latency_ms": r.TargetLatency, "target_gap_ms": r.TargetGap, "attempts": r.Attempts, "priority": r.Priority,
			"stream_resumption": r.Resume, "sticky_sessions": r.Sticky, "anonymous_access": r.Anonymous, "stages": r.Stages,
		})
	}
	for _, s := range services {
		m := map[string]any{"name": s.Name, "health_path": HealthPath, "max_connections": 200, "protocol": "h1"}
		if s.Engine {
			m["engine"] = map[string]any{"slots": 64, "kv_capacity_tokens": 400000}
		}
		if s.Pieces != nil {
			m["pieces"] = s.Pieces
		}
		ss = append(ss, m)
	}
	teams := map[string][]string{}
	for k, team := range keys {
		teams[team] = append(teams[team], k)
	}
	for team, ks := range teams {
		ts = append(ts, map[string]any{"name": team, "api_keys": ks})
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss, "tenants": ts,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
