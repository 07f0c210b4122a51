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
	atMostOnce                     bool // must run at most once
	stream                         bool
	attempts                       int // replicas that may run it
	router                         string
	began, ended                   time.Time
	leftAt                         time.Time // when the caller closed the connection early, or zero
	status                         int       // 0 without an answer
	answer                         string
	err                            error // with which the answer ended
}

// requestKinds of requests that callers send.
var requestKinds = []struct {
	method, host, prefix string
	once, stream         bool
	attempts             int
	pieces               string
}{
	{http.MethodGet, deskHost, "/safe/", false, false, 2, ""},
	{http.MethodPost, deskHost, "/once/", true, false, 1, ""},
	{http.MethodPost, chatHost, "/resume/", false, true, 2, ""},
	{http.MethodPost, chatHost, "/once/", true, true, 1, ""},
	{http.MethodPost, planHost, "/", false, true, 2, "1,4,2"},
}

// callers send requests until ctx ends. Each keeps its connection for as long as the
// router does.
type callers struct {
	run *Run

	mu      sync.Mutex
	records []*requestRecord
	lastID  int
}

const (
	meanPause      = 40 * time.Millisecond // between the requests of a caller, on average
	requestTimeout = 6 * time.Second
	// leaveOneIn is one over the part of the callers that leave early, within maxLeaveDelay.
	leaveOneIn    = 10
	maxLeaveDelay = 900 * time.Millisecond
)

func (c *callers) runCaller(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		r := c.run.routers[rng.IntN(len(c.run.routers))]
		// The balancer sends new connections to ready routers only.
		if !c.run.isReady(r) && rng.IntN(4) > 0 {
			time.Sleep(meanPause / 4)
			continue
		}
		c.sendOne(client, rng, r)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanPause))))
	}
}

func (c *callers) sendOne(client *http.Client, rng *rand.Rand, r *router) {
	k := requestKinds[rng.IntN(len(requestKinds))]
	c.mu.Lock()
	c.lastID++
	s := &requestRecord{
		id: fmt.Sprintf("q%d", c.lastID), method: k.method, host: k.host, target: fmt.Sprintf("%s%d", k.prefix, c.lastID),
		atMostOnce: k.once, stream: k.stream, attempts: k.attempts, router: r.name, began: time.Now(),
	}
	c.records = append(c.records, s)
	c.mu.Unlock()
	if k.method == http.MethodPost {
		s.body = strings.Repeat(s.id, 1+rng.IntN(2000))
	}
	limit := requestTimeout
	if rng.IntN(leaveOneIn) == 0 {
		limit = randomDuration(rng, maxLeaveDelay/50, maxLeaveDelay)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+r.callers+s.target, strings.NewReader(s.body))
	if err != nil {
		s.err = err
		return
	}
	req.Host = k.host
	req.Header.Set(site.HeaderID, s.id)
	req.Header.Set(site.HeaderDeadline, fmt.Sprint(requestTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+teamKey)
	if k.pieces != "" {
		req.Header.Set(site.HeaderPieces, k.pieces)
		req.Header.Set(site.HeaderPieceKey, s.id)
	}
	// The library must not send a request again by itself.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.mu.Lock()
		s.status, s.answer = resp.StatusCode, string(body)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.err, s.ended = err, time.Now()
	if limit < requestTimeout && ctx.Err() != nil {
		s.leftAt = s.ended
	}
}

// expectedAnswer is the whole answer to a request.
func (s *requestRecord) expectedAnswer() string {
	if !s.stream {
		return site.Body(s.target)
	}
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		b.WriteString(site.Event(s.target, i))
	}
	return b.String()
}
