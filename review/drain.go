package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound and contact are drain_ms and contact_ms of aquilone-rete.
	drainBound = 2 * time.Second
	contact    = 3 * time.Second
	// serveOn is how long a replica serves after its entry was removed: drain_ms and a little longer.
	serveOn = drainBound + 600*time.Millisecond
)

// arrival is a request that reached a replica.
type arrival struct {
	replica, id string
	at          time.Time
}

func init() { cases["drain"] = playDrain }

// playDrain makes the open connections to the store silent for good, once. A little later the entry
// of a replica is removed, which goes on serving for drain_ms and a little longer. No request that
// was sent when all machines were in touch again may reach it later than drain_ms after its entry
// was removed.
func playDrain(w *world) (held bool, err error) {
	var mu sync.Mutex
	var arrivals []arrival
	sent := map[string]time.Time{}
	running := map[string]string{} // replica by request that it runs
	handle := func(c *replicaConn, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		arrivals = append(arrivals, arrival{c.p.id, id, time.Now()})
		running[id] = c.p.id
		mu.Unlock()
		w.rec.add("replica %s runs request %s", c.p.id, id)
		c.work(15 * time.Millisecond)
		c.answer(r, http.StatusOK, c.p.signature(r), []byte("order "+id+"\n"))
		mu.Lock()
		delete(running, id)
		mu.Unlock()
	}
	replicas := make([]*replica, len(zones))
	err = w.begin(len(zones), map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-order", "host": "jepu9.example", "path_prefix": "/orders/", "kind": "unsafe", "service": "banco-vendita",
			"timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "attempts": 1, "stages": []any{},
		}},
		"services": []any{map[string]any{"name": "banco-vendita", "health_path": "/health", "max_connections": 96, "protocol": "h1", "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   limits,
		"tenants":  tenants,
	}, func() []*replica {
		for i := range replicas { // in one zone, so that all routers use all of them
			replicas[i] = &replica{id: fmt.Sprintf("i-0000000%d", i+1), service: "banco-vendita", zone: zones[0], slots: 6, handle: handle}
		}
		return replicas
	})
	if err != nil {
		return false, err
	}

	begin := time.Now()
	const interval, length = 25 * time.Millisecond, 12 * time.Second
	var unanswered []string
	w.wg.Go(func() {
		for i := 0; time.Since(begin) < length; i++ {
			r := w.routers[i%len(w.routers)]
			w.wg.Go(func() {
				id := newID()
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				w.rec.add("request %s sent to %s", id, r.name)
				c := call{method: "POST", host: "jepu9.example", path: "/orders/2f", body: `{"kit":7}`, deadline: 600 * time.Millisecond}
				rp := c.send(r.callers, id)
				w.rec.add("request %s answered: status %d, %v", id, rp.status, rp.err)
				if rp.status != http.StatusOK && rp.status != http.StatusServiceUnavailable {
					mu.Lock()
					unanswered = append(unanswered, fmt.Sprintf("%s (%d)", id, rp.status))
					mu.Unlock()
				}
			})
			time.Sleep(time.Until(begin.Add(time.Duration(i+1) * interval)))
		}
	})
	time.Sleep(time.Until(begin.Add(5 * time.Second)))
	inTouch := begin
	if w.trouble {
		w.rec.say("%d open connections to the store fall silent, new ones work", w.path.silence())
		inTouch = time.Now().Add(contact)
	}
	time.Sleep(1500 * time.Millisecond)
	leaving := replicas[0]
	left := leaving.leave()
	w.rec.say("the store has removed the entry of replica %s", leaving.id)
	time.Sleep(time.Until(left.Add(serveOn)))
	leaving.stop()
	mu.Lock()
	w.rec.say("replica %s ends while it runs %d requests", leaving.id, len(running))
	mu.Unlock()
	w.wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	last, lateOnes := time.Duration(0), 0
	for _, a := range arrivals {
		if a.replica != leaving.id {
			continue
		}
		since := a.at.Sub(left)
		last = max(last, since)
		if since > drainBound && sent[a.id].After(inTouch) {
			lateOnes++
			w.rec.add("request %s reached replica %s %d ms after its entry was removed", a.id, a.replica, since.Milliseconds())
		}
	}
	w.rec.say("%d requests that were sent in touch reached the replica later than %s after its entry was removed, the last one %d ms after it; %d requests with neither 200 nor 503: %v",
		lateOnes, drainBound, last.Milliseconds(), len(unanswered), unanswered)
	return lateOnes == 0, nil
}
