package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"hornbeamcove.example/fakes/site"
)

// requestRecord is one request of a caller and its outcome.
type requestRecord struct {
	id, method, host, target, body string
	atMostOnce                     bool // whether it may run at most once
	stream                         bool
	attempts                       int    // number of replicas that may run it
	router                         string // name of the router it was sent to
	badPart                        string // part of its prompt that crashes engines, or empty
	parts, pieces                  string // prompt parts and numbers of pieces, empty if it has none
	resumes                        string // ID of the request that began the stream that it takes up, or empty
	after                          int    // last event of that stream that the caller has
	began, ended                   time.Time
	timeout                        time.Duration // for which its caller waits
	late                           bool          // whether it was sent to a router because that is stopping
	abandonedAt                    time.Time     // when the caller closed the connection early; zero if it did not
	status                         int           // 0 if there was no answer
	answer                         string
	err                            error // error of the exchange, or nil if the answer is complete
}

// requestKind is a kind of requests, those of one route.
type requestKind struct {
	method, host, prefix string
	atMostOnce, stream   bool
	attempts             int
	pieceCounts          string // number of pieces of each stage; empty for a route without stages
}

// requestKinds are the kinds of requests that callers send, one for each route.
var requestKinds = []requestKind{
	{http.MethodGet, deskHost, "/safe/", false, false, 2, ""},
	{http.MethodPost, deskHost, "/once/", true, false, 1, ""},
	{http.MethodPost, chatHost, "/resume/", false, true, 2, ""},
	{http.MethodPost, chatHost, "/once/", true, true, 1, ""},
	{http.MethodPost, planHost, "/", false, true, 2, "1,4,2"},
}

// callers sends requests concurrently and records their outcomes. Each caller keeps its
// connection open until the router closes it.
type callers struct {
	run *Run

	mu      sync.Mutex
	records []*requestRecord
	lastID  int // number in the latest request ID
}

const (
	meanPause      = 40 * time.Millisecond // mean time between the requests of a caller
	requestTimeout = 6 * time.Second
	// Callers abandon one request in abandonOneIn, after at most maxAbandonDelay.
	abandonOneIn    = 10
	maxAbandonDelay = 900 * time.Millisecond
)

// runCaller sends requests of the given kinds one after the other until ctx ends.
func (c *callers) runCaller(ctx context.Context, seed uint64, kinds ...requestKind) {
	rng := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		r := c.run.routers[rng.IntN(len(c.run.routers))]
		// A load balancer opens connections to ready routers only. One attempt in four goes
		// to a router that is not ready all the same.
		if !c.run.isReady(r) && rng.IntN(4) > 0 {
			time.Sleep(meanPause / 4)
			continue
		}
		c.sendOne(client, rng, r, kinds[rng.IntN(len(kinds))], false)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanPause))))
	}
}

// sendOne sends one request to a router and records its outcome. Of the late streams, half are
// long.
func (c *callers) sendOne(client *http.Client, rng *rand.Rand, r *router, k requestKind, late bool) {
	rec := &requestRecord{method: k.method, host: k.host, atMostOnce: k.atMostOnce, stream: k.stream, attempts: k.attempts, router: r.name, pieces: k.pieceCounts, late: late}
	c.add(rec)
	rec.target = k.prefix + rec.id[1:]
	if late && k.stream && rng.IntN(2) == 0 {
		rec.target = k.prefix + longPath + rec.id[1:]
	}
	if k.method == http.MethodPost {
		rec.body = strings.Repeat(rec.id, 1+rng.IntN(2000))
	}
	timeout := requestTimeout
	if rng.IntN(abandonOneIn) == 0 {
		timeout = randomDuration(rng, maxAbandonDelay/50, maxAbandonDelay)
	}
	if k.stream {
		rec.badPart = c.run.badParts.draw(rng)
		rec.parts = promptParts(rec.id, rec.badPart, rng)
	}
	c.send(client, r, rec, timeout)
	if k.stream && timeout == requestTimeout {
		c.takeUp(client, rng, rec)
	}
}

// add records a request that is about to be sent, under a new ID.
func (c *callers) add(rec *requestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	rec.id, rec.began = fmt.Sprintf("q%d", c.lastID), time.Now()
	c.records = append(c.records, rec)
}

// send sends the request of a record to a router and records its outcome.
func (c *callers) send(client *http.Client, r *router, rec *requestRecord, timeout time.Duration) {
	rec.timeout = timeout
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, rec.method, "http://"+r.callers+rec.target, strings.NewReader(rec.body))
	if err != nil {
		rec.err = err
		return
	}
	req.Host = rec.host
	req.Header.Set(site.HeaderID, rec.id)
	req.Header.Set(site.HeaderDeadline, fmt.Sprint(requestTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+teamKey)
	if rec.pieces != "" {
		req.Header.Set(site.HeaderPieceCounts, rec.pieces)
		req.Header.Set(site.HeaderPieceKey, rec.id)
	}
	if rec.parts != "" {
		req.Header.Set(site.HeaderParts, rec.parts)
	}
	if rec.resumes != "" {
		req.Header.Set(site.HeaderResumes, rec.resumes)
		req.Header.Set(site.HeaderLastEvent, fmt.Sprint(rec.after))
	}
	// Keep net/http from resending the request by itself.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.mu.Lock()
		rec.status, rec.answer = resp.StatusCode, string(body)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.err, rec.ended = err, time.Now()
	if timeout < requestTimeout && rec.resumes == "" && ctx.Err() != nil {
		rec.abandonedAt = rec.ended
	}
}

// expectedAnswer returns the complete answer to a request.
func (rec *requestRecord) expectedAnswer() string {
	if !rec.stream {
		return site.Body(rec.target)
	}
	var b strings.Builder
	for i := rec.after + 1; i <= streamEvents; i++ {
		b.WriteString(site.Event(rec.target, i))
	}
	return b.String()
}

// probeConfig sends a request on the route that the last configuration added to each router,
// and returns a violation for each that doesn't serve it.
func (r *Run) probeConfig() (violations []string) {
	if r.configVersion == 1 {
		return nil
	}
	for _, rt := range r.routers {
		req, err := newProbe(rt, r.configVersion)
		if err != nil {
			return append(violations, err.Error())
		}
		client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err != nil {
			violations = append(violations, fmt.Sprintf("config: %s: %v", rt.name, err))
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			violations = append(violations, fmt.Sprintf("config: %s answers %d on the route of version %d", rt.name, resp.StatusCode, r.configVersion))
		}
	}
	return violations
}
