package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashTime is how long a crashed replica is down.
const crashTime = 4500 * time.Millisecond

func init() { cases["refused"] = playRefused }

// playRefused sends streams that may not be resumed, whose model replica reads stage results. A
// few times a replica crashes while it keeps a result of a request, so that the model replica
// rejects the request with 409. This answer is one of the few that the model replica sends twice.
// No request that was answered with 503 may run.
func playRefused(w *world) (held bool, err error) {
	const (
		warmUp  = 45 // requests before the first crash
		crashes = 3
		pause   = 400 * time.Millisecond // between requests
	)
	rs := newResults()
	var mu sync.Mutex
	runs := map[string][]string{} // replicas by request that they ran
	extra := 0                    // answers sent twice
	watched := ""                 // request whose result is to be lost
	var keeper *replica           // replica that keeps it
	crash := func(p *replica) {
		w.rec.say("replica %s crashes", p.id)
		p.stop()
		rs.drop(p)
		time.AfterFunc(crashTime, func() { _ = p.start() })
	}
	begun := false // whether stage 2 of the watched request begins
	made := func(p *replica, it stageItem) {
		mu.Lock()
		defer mu.Unlock()
		if it.ID != watched {
			return
		}
		switch it.Stage {
		case 0:
			keeper = p
		case 1:
			begun = true
		}
		if p := keeper; p != nil && begun {
			watched, keeper, begun = "", nil, false
			time.AfterFunc(50*time.Millisecond, func() { crash(p) })
		}
	}
	engine := func(c *replicaConn, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		if h := rs.missing(inputs(r)); h != "" {
			w.rec.add("replica %s rejects request %s, result %s is gone", c.p.id, id, h)
			data := c.answer(r, http.StatusConflict, notExecuted, nil)
			mu.Lock()
			defer mu.Unlock()
			if w.trouble && extra < crashes {
				extra++
				c.late = data
			}
			return
		}
		mu.Lock()
		runs[id] = append(runs[id], c.p.id)
		mu.Unlock()
		w.rec.add("replica %s runs request %s", c.p.id, id)
		whole := c.stream(r, 5, 60*time.Millisecond)
		w.rec.add("replica %s ends request %s, whole: %t", c.p.id, id, whole)
	}
	service := func(name string, pieces map[string]any) map[string]any {
		m := map[string]any{"name": name, "health_path": "/health", "max_connections": 360, "protocol": "h1", "cold_start_s": 0.0, "cold_per_s": 0.0}
		if pieces != nil {
			m["pieces"] = pieces
		} else {
			m["engine"] = map[string]any{"slots": 64, "kv_capacity_tokens": 486721}
		}
		return m
	}
	var engines []*replica
	err = w.begin(len(zones), map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-notes", "host": "pule25.example", "path_prefix": "/notes/", "kind": "streaming", "service": "forno-modello",
			"timeout_ms": 5000, "target_latency_ms": 1900, "target_gap_ms": 400, "priority": 1, "attempts": 1,
			"sticky_sessions": true, "stream_resumption": false,
			"stages": []any{
				map[string]any{"service": "archivio-modelli", "after": []int{}, "bytes": 8000},
				map[string]any{"service": "archivio-modelli", "after": []int{}, "bytes": 8000},
				map[string]any{"service": "scuole-gite", "after": []int{1}, "bytes": 60000},
			},
		}},
		"services": []any{
			service("forno-modello", nil),
			service("archivio-modelli", map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 44.0, "handle_s": 4.0, "link_mbps": 10000}),
			service("scuole-gite", map[string]any{"slots": 1, "queue": 2, "batch": 30, "call_ms": 150.0, "item_ms": 4.3, "headroom_mb": 5.4, "handle_s": 4.0, "link_mbps": 10000}),
		},
		"limits":  limits,
		"tenants": tenants,
	}, func() (all []*replica) {
		for i, z := range zones {
			engines = append(engines, &replica{id: fmt.Sprintf("i-e000000%d", i+1), service: "forno-modello", zone: z, slots: 64, handle: engine})
		}
		all = append(all, engines...)
		for i := range 5 {
			all = append(all,
				&replica{id: fmt.Sprintf("i-a000000%d", i+1), service: "archivio-modelli", zone: zones[i%3], slots: 1, handle: stageReplica(rs, 150*time.Millisecond, 16*time.Millisecond, made)},
				&replica{id: fmt.Sprintf("i-c000000%d", i+1), service: "scuole-gite", zone: zones[i%3], slots: 1, handle: stageReplica(rs, 150*time.Millisecond, 4300*time.Microsecond, made)})
		}
		return all
	})
	if err != nil {
		return false, err
	}

	replies := map[string]reply{}
	next := time.Now()
	const each = 20 // requests from one crash to the next
	for i := range warmUp + crashes*each {
		r := w.routers[i%len(w.routers)]
		id := newID()
		if w.trouble && i >= warmUp && (i-warmUp)%each == 0 {
			mu.Lock()
			watched, keeper, begun = id, nil, false
			mu.Unlock()
		}
		w.wg.Go(func() {
			w.rec.add("request %s sent to %s", id, r.name)
			c := call{method: "POST", host: "pule25.example", path: "/notes/2f", body: "note " + id, deadline: 5 * time.Second, header: []string{
				"Model-Name: m", "Token-Usage: 2368,25", fmt.Sprintf("Prompt-Prefix: 5c1e07a%d:341,%08x:2027", rand.IntN(4), rand.Uint32()), "Piece-Count: 1,1,8", "Piece-Key: 7c1e" + id[:8],
			}}
			rp := c.send(r.callers, id)
			w.rec.add("request %s answered: status %d, %q, %v", id, rp.status, strings.TrimSpace(rp.body[:min(len(rp.body), 40)]), rp.err)
			mu.Lock()
			replies[id] = rp
			mu.Unlock()
		})
		next = next.Add(pause)
		time.Sleep(time.Until(next))
	}
	w.wg.Wait()
	time.Sleep(time.Second) // work that still goes on

	mu.Lock()
	defer mu.Unlock()
	refused, broken, served := 0, 0, 0
	for id, rp := range replies {
		switch rp.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused++
			if len(runs[id]) > 0 {
				broken++
				w.rec.say("request %s was answered with %d (%s) and was run by %v", id, rp.status, strings.TrimSpace(rp.body), runs[id])
			}
		}
	}
	sent := 0
	for _, p := range engines {
		p.mu.Lock()
		sent += p.answers
		p.mu.Unlock()
	}
	w.rec.say("%d requests, %d served, %d refused, of which %d were run; %d of %d answers of model replicas were sent twice", len(replies), served, refused, broken, extra, sent)
	return broken == 0, nil
}
