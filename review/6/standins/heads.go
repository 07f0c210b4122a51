package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"
)

// Sizes of the disruption of the case "heads".
const (
	headsFrom     = 6 * time.Second // from the start of traffic
	headsFor      = 5500 * time.Millisecond
	headsReplicas = 8                // of the stage service
	headsShare    = 4                // of them in trouble
	headsEvery    = 20               // of the stage calls that reach such a replica, one in so many is answered so
	headsFirst    = 3                // the first one
	headRate      = 1_500_000        // bytes a second
	headsAfter    = 12 * time.Second // after the disruption
)

// endlessHead sends the head of an answer without end, until the caller closes.
func endlessHead(c net.Conn) {
	w := bufio.NewWriter(c)
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\n")
	const chars = "abcdefghijklmnopqrstuvwxyz0123456789"
	const lineBytes, interval = 7, 10 * time.Millisecond
	for n := 0; ; {
		for range headRate / lineBytes / int(time.Second/interval) {
			k := n
			for range 4 {
				_ = w.WriteByte(chars[k%len(chars)])
				k /= len(chars)
			}
			_, _ = w.WriteString(":\r\n")
			n++
		}
		if w.Flush() != nil {
			return
		}
		time.Sleep(interval)
	}
}

// deployment is a small deployment: model replicas, a shop counter and one stage service.
func deployment() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "plan", "host": host, "path_prefix": "/plan/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 2400, "target_gap_ms": 400, "priority": 0, "service": "forno", "attempts": 2, "stages": []any{map[string]any{"service": "archivio", "after": []int{}, "bytes": 3000000}}, "sticky_sessions": true, "stream_resumption": true},
			map[string]any{"name": "kit", "host": host, "path_prefix": "/kit/", "kind": "unsafe", "timeout_ms": 600, "target_latency_ms": 100, "priority": 1, "service": "banco", "attempts": 1, "stages": []any{}},
		},
		"services": []any{
			map[string]any{"name": "forno", "health_path": "/health", "max_connections": 360, "cold_start_s": 0.0, "cold_per_s": 0.0, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 486721}},
			map[string]any{"name": "banco", "health_path": "/health", "max_connections": 96, "cold_start_s": 0.0, "cold_per_s": 0.0},
			map[string]any{"name": "archivio", "health_path": "/health", "max_connections": 360, "cold_start_s": 0.0, "cold_per_s": 0.0, "pieces": map[string]any{"slots": 1, "queue": 2, "batch": archive.batch, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 44.0, "handle_s": 4.0, "link_mbps": 10000}},
		},
		"tenants": []any{map[string]any{"name": "bozi300", "api_keys": []string{"9dnn2ctnfzs989anu6ws"}}},
		"limits":  map[string]any{"header_bytes": 65536, "body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
}

var planKind = kind{
	name: "plan", path: "/plan/", body: "the prompt", deadline: 15 * time.Second, pause: 300 * time.Millisecond, stream: true,
	header: func(n int64) map[string]string {
		return map[string]string{"Model-Name": "m", "Token-Usage": "1460,80", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%x:660", 0x1000+n), "Piece-Count": fmt.Sprint(1 + n%4), "Piece-Key": fmt.Sprintf("%x", n)}
	},
}

var kitKind = kind{
	name: "kit", path: "/kit/", body: "one kit", deadline: 600 * time.Millisecond, pause: 500 * time.Millisecond,
	header: func(int64) map[string]string { return nil },
}

// addReplicas starts the replicas of the deployment.
func (w *world) addReplicas(archives int) error {
	for _, s := range []struct {
		service         string
		n, slots, queue int
		handler         handler
	}{{"forno", 12, 64, 134, serveEngine}, {"banco", 3, 6, 24, servePlain}, {"archivio", archives, 1, 2, serveStage}} {
		for i := range s.n {
			rp := &replica{id: fmt.Sprintf("i-%s-%d", s.service, i), service: s.service, zone: zones[i%len(zones)], slots: s.slots, queue: s.queue, handler: s.handler}
			if err := w.add(rp); err != nil {
				return err
			}
		}
	}
	return nil
}

// playHeads lets some replicas of the stage service answer with a head without end, and counts the
// requests that a daemon has passed on to a sound replica and lost, see LOST.
func playHeads(w *world) int {
	if err := w.addReplicas(headsReplicas); err != nil {
		w.rec.note("%v", err)
		return notRun
	}
	if !w.startSystem(deployment()) {
		return notRun
	}
	began := time.Now()
	inTrouble := func() bool {
		t := time.Since(began)
		return w.trouble && t >= headsFrom && t < headsFrom+headsFor
	}
	var bad []*replica
	for _, rp := range w.replicas {
		if rp.service == "archivio" && len(bad) < headsShare {
			bad = append(bad, rp)
		}
	}
	for _, rp := range bad {
		calls := 0
		rp.setTrouble(inTrouble, func() fault {
			if calls++; calls%headsEvery != headsFirst {
				return nil
			}
			w.rec.note("%s answers a stage call with a head without end", rp.id)
			return endlessHead
		})
	}
	w.startClients(planKind, 28)
	w.startClients(kitKind, 3)
	time.Sleep(headsFrom + headsFor + headsAfter)
	faults, all := int64(0), int64(0)
	for _, rp := range bad {
		faults += rp.faults.Load()
		all += rp.troubled.Load()
	}
	w.rec.note("%d of %d answers of the %d replicas in trouble were heads without end", faults, all, len(bad))
	return w.judgeLost()
}

// judgeLost checks LOST: a machine in touch passes requests from kept connections on to a sound
// replica and closes the connections without an answer, more than three times. No machine and no link
// has a disruption here, and a process that ends by itself counts as running all the while.
func (w *world) judgeLost() int {
	const allowed = 3
	code := held
	counts := map[string]int{}
	w.noteOutcomes()
	for _, q := range w.rec.all() {
		if q.outcome == "closed without an answer" && q.kept && len(q.runs) > 0 {
			counts[q.daemon]++
		}
	}
	for _, d := range w.daemons {
		d.mu.Lock()
		ends, peak := len(d.ends), d.peakMB
		d.mu.Unlock()
		w.rec.note("%s: ended by itself %d times, at most %d MB; requests from kept connections that a sound replica ran and whose connection was closed without an answer: %d", d.name, ends, peak, counts[d.name])
		if counts[d.name] > allowed {
			code = broken
		}
	}
	return code
}

// noteOutcomes notes how many requests ended in which way.
func (w *world) noteOutcomes() {
	outcomes := map[string]int{}
	for _, q := range w.rec.all() {
		outcomes[fmt.Sprintf("%s: %s, status %d", q.kind, q.outcome, q.status)]++
	}
	for _, o := range slices.Sorted(maps.Keys(outcomes)) {
		w.rec.note("%5d %s", outcomes[o], o)
	}
}
