package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// handleLife is handle_s of the stage services: how long a result is kept after its call.
const handleLife = 4 * time.Second

// results holds the stage results of all replicas.
type results struct {
	mu     sync.Mutex
	holder map[string]*replica // by handle
	last   atomic.Int64
}

func newResults() *results { return &results{holder: map[string]*replica{}} }

// make stores a result at p and returns its handle.
func (rs *results) make(p *replica) string {
	h := fmt.Sprintf("%s/%x", p.addr, rs.last.Add(1))
	rs.mu.Lock()
	rs.holder[h] = p
	rs.mu.Unlock()
	time.AfterFunc(handleLife, func() { rs.free(h) })
	return h
}

func (rs *results) free(h string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	delete(rs.holder, h)
}

// drop removes all results of a replica, which has crashed.
func (rs *results) drop(p *replica) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for h, holder := range rs.holder {
		if holder == p {
			delete(rs.holder, h)
		}
	}
}

// missing returns the first of the handles that no replica keeps, or an empty string.
func (rs *results) missing(handles []string) string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, h := range handles {
		if rs.holder[h] == nil {
			return h
		}
	}
	return ""
}

// stageItem is one piece of a stage call.
type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// stageReplica returns the handler of a replica that makes stage results, with one slot and a queue
// of two. made is called for each result.
func stageReplica(rs *results, callTime, itemTime time.Duration, made func(p *replica, it stageItem)) handler {
	slot := make(chan struct{}, 1)
	var waiting atomic.Int64
	return func(c *replicaConn, r *http.Request, body []byte) {
		switch r.URL.Path {
		case "/stage-free":
			var d struct {
				Handles []string `json:"handles"`
			}
			_ = json.Unmarshal(body, &d)
			for _, h := range d.Handles {
				rs.free(h)
			}
			c.answer(r, http.StatusOK, "", nil)
			return
		case "/stage-run":
		default:
			c.answer(r, http.StatusNotFound, "", nil)
			return
		}
		var d struct {
			Items []stageItem `json:"items"`
		}
		if json.Unmarshal(body, &d) != nil {
			c.answer(r, http.StatusBadRequest, "", nil)
			return
		}
		if waiting.Add(1) > 3 {
			waiting.Add(-1)
			c.answer(r, http.StatusServiceUnavailable, notExecuted, nil)
			return
		}
		slot <- struct{}{}
		defer func() { <-slot; waiting.Add(-1) }()
		c.p.rec.add("replica %s makes %d pieces, the first one of request %s, stage %d", c.p.id, len(d.Items), d.Items[0].ID, d.Items[0].Stage)
		time.Sleep(callTime + time.Duration(len(d.Items))*itemTime)
		out := make([]map[string]string, len(d.Items))
		for i, it := range d.Items {
			if rs.missing(it.Inputs) != "" {
				out[i] = map[string]string{"reason": "gone"}
				continue
			}
			out[i] = map[string]string{"handle": rs.make(c.p)}
			made(c.p, it)
		}
		data, _ := json.Marshal(map[string]any{"items": out})
		c.answer(r, http.StatusOK, "Content-Type: application/json\r\n", data)
	}
}

// inputs returns the handles that a request to a model replica names.
func inputs(r *http.Request) []string {
	v := r.Header.Get("Input-Count")
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}
