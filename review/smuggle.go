package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["smuggle"] = playSmuggle }

// playSmuggle sends requests whose body holds the text of another request. Each has a length that
// covers the whole body; with trouble it also says that the body is sent in chunks, of which the
// last one ends before that text. No request whose text is in a body may run.
func playSmuggle(w *world) (held bool, err error) {
	const requests = 12
	var mu sync.Mutex
	ran := map[string]string{} // what replicas ran, by request id
	handle := func(c *replicaConn, r *http.Request, body []byte) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		ran[id] = fmt.Sprintf("%s %s at replica %s", r.Method, r.RequestURI, c.p.id)
		mu.Unlock()
		w.rec.add("replica %s runs %s %s, request %s, tenant %q, body %q", c.p.id, r.Method, r.RequestURI, id, r.Header.Get("Tenant-Name"), body)
		c.work(15 * time.Millisecond)
		c.answer(r, http.StatusOK, c.p.signature(r), []byte("order "+id+"\n"))
	}
	route := func(name, prefix, kind string, anonymous bool) map[string]any {
		return map[string]any{
			"name": name, "host": "jepu9.example", "path_prefix": prefix, "kind": kind, "service": "banco-vendita",
			"timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "attempts": 1, "stages": []any{}, "anonymous_access": anonymous,
		}
	}
	err = w.begin(len(zones), map[string]any{
		"version":  7,
		"routes":   []any{route("r-order", "/orders/", "unsafe", false), route("r-public", "/public/", "unsafe", true)},
		"services": []any{map[string]any{"name": "banco-vendita", "health_path": "/health", "max_connections": 96, "protocol": "h1", "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   limits,
		"tenants":  tenants,
	}, func() (all []*replica) {
		for i, z := range zones {
			all = append(all, &replica{id: fmt.Sprintf("i-0000000%d", i+1), service: "banco-vendita", zone: z, slots: 6, handle: handle})
		}
		return all
	})
	if err != nil {
		return false, err
	}

	within := map[string]string{} // request in whose body the text was, by the id in the text
	for i := range requests {
		r := w.routers[i%len(w.routers)]
		outer, inner := newID(), newID()
		text := fmt.Sprintf("POST /public/2f HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nRequest-Deadline: 600\r\nContent-Length: 0\r\n\r\n", inner)
		path := "/orders/2f"
		if i%4 == 3 {
			path = "/gone/2f" // has no route
		}
		body := "0\r\n\r\n" + text
		framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if w.trouble {
			framing += "Transfer-Encoding: chunked\r\n"
		}
		within[inner] = outer
		w.rec.add("request %s for %s sent to %s, its body holds the text of request %s", outer, path, r.name, inner)
		answers, err := exchangeRaw(r.callers, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nRequest-Deadline: 600\r\nAuthorization: Bearer %s\r\n%s\r\n%s", path, outer, apiKey, framing, body))
		if err != nil {
			return false, err
		}
		w.rec.add("answers to it: %s", strings.Join(answers, ", "))
	}

	mu.Lock()
	defer mu.Unlock()
	smuggled := 0
	for inner, outer := range within {
		if what, ok := ran[inner]; ok {
			smuggled++
			w.rec.add("request %s, the text of which was in the body of %s, ran: %s", inner, outer, what)
		}
	}
	w.rec.say("%d requests sent, %d requests whose text was in the body of another one ran", requests, smuggled)
	return smuggled == 0, nil
}

// exchangeRaw writes bytes on a new connection and returns the status and the request id of each
// answer that comes within half a second.
func exchangeRaw(addr, data string) (answers []string, err error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	if _, err = io.WriteString(nc, data); err != nil {
		return nil, err
	}
	_ = nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	br := bufio.NewReader(nc)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return answers, nil
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answers = append(answers, fmt.Sprintf("%d for %s", resp.StatusCode, resp.Header.Get("Request-Id")))
	}
}
