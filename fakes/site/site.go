package site

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Site is a store with replicas that are registered in it. It is safe for concurrent
// use.
type Site struct {
	Store *Store

	ln     net.Listener
	srv    *http.Server
	closed atomic.Bool

	mu       sync.Mutex
	replicas []*Replica
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

// Add starts a replica and registers it.
func (s *Site) Add(p *Replica) error {
	p.Site = s
	p.Born = time.Now().UnixMilli()
	if err := p.start("127.0.0.1:0"); err != nil {
		return fmt.Errorf("start replica %s: %w", p.ID, err)
	}
	s.mu.Lock()
	s.replicas = append(s.replicas, p)
	s.mu.Unlock()
	s.Store.PutJSON("servers/"+p.ID, p.Entry("ready"))
	return nil
}

// Close stops the store and all replicas.
func (s *Site) Close() error {
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.replicas {
		p.stop()
	}
	return errors.Join(s.srv.Close())
}

// Runs returns copies of all requests that replicas saw, in the order of their arrival.
func (s *Site) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, len(s.runs))
	for i, r := range s.runs {
		out[i] = *r
	}
	return out
}

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

func (s *Site) markNotExecuted(r *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Executed = false
}

// hasResults reports whether all results of a comma-separated list are kept by their makers.
func (s *Site) hasResults(handles string) bool {
	if handles == "" {
		return true
	}
	s.mu.Lock()
	replicas := s.replicas
	s.mu.Unlock()
	for h := range strings.SplitSeq(handles, ",") {
		held := false
		for _, p := range replicas {
			held = held || p.hasResult(h)
		}
		if !held {
			return false
		}
	}
	return true
}

// Route is a route of a Config.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	Timeout, TargetLatency, TargetGap int // milliseconds
	Attempts, Priority                int
	Resume, Sticky, Anonymous         bool
	Stages                            []Stage
}

// Stage is a stage of a Route.
type Stage struct {
	Service string `json:"service"`
	After   []int  `json:"after"`
	Bytes   int    `json:"bytes"`
}

// Service is a service of a Config; Pieces is set for stage services.
type Service struct {
	Name   string
	Engine bool
	Pieces map[string]any
}

// Services are those of a small deployment: a plain one, engines, and two that make stage
// results, of which one takes few large pieces a call and the other many small ones.
var Services = []Service{
	{Name: "desk"},
	{Name: "engine", Engine: true},
	{Name: "archive", Pieces: map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 20.0, "item_ms": 2.0, "headroom_mb": 44.0, "handle_s": 4.0}},
	{Name: "school", Pieces: map[string]any{"slots": 1, "queue": 2, "batch": 30, "call_ms": 20.0, "item_ms": 1.0, "headroom_mb": 5.4, "handle_s": 4.0}},
}

// Config returns a configuration in the operator's format. Keys maps keys to teams.
func Config(version int, routes []Route, services []Service, keys map[string]string) map[string]any {
	var rs, ss, ts []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": r.Prefix, "kind": r.Kind, "service": r.Service,
			"timeout_ms": r.Timeout, "target_latency_ms": r.TargetLatency, "target_gap_ms": r.TargetGap, "attempts": r.Attempts, "priority": r.Priority,
			"stream_resumption": r.Resume, "sticky_sessions": r.Sticky, "anonymous_access": r.Anonymous, "stages": r.Stages,
		})
	}
	for _, s := range services {
		m := map[string]any{"name": s.Name, "health_path": "/health", "max_connections": 200, "protocol": "h1"}
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
