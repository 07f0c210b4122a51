package fakes

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// PlatformRecord is what a platform stand-in was asked for. It covers all runs.
type PlatformRecord struct {
	// Calls counts all calls; Refused those over the rate and Dropped those that came
	// while the stand-in was down.
	Calls   int `json:"calls"`
	Refused int `json:"refused"`
	Dropped int `json:"dropped"`
	// Waiting is the number of watches that wait now; PeakWaiting is its highest value.
	Waiting     int `json:"waiting"`
	PeakWaiting int `json:"mostwaiting"`
	// PeakCalls is the highest use of the rate in one second, waiting watches included.
	PeakCalls int `json:"most"`
	// Reads counts answered calls by path.
	Reads map[string]int `json:"reads"`
}

// platform is the part that the platform's stand-ins share.
type platform struct {
	server
	cfg settings

	mu      sync.Mutex
	down    bool
	limiter rateLimiter
	rec     PlatformRecord
}

func (p *platform) init(opts []Option, handle func(ctx context.Context, rc *fasthttp.RequestCtx)) {
	p.cfg = newSettings(opts)
	p.limiter.rate = p.cfg.rate
	p.rec.Reads = map[string]int{}
	p.server.onRunStart = func(string) {}
	p.server.record = func() any { return p.Record() }
	p.server.handler = func(ctx context.Context, rc *fasthttp.RequestCtx) { p.limitCall(ctx, rc, handle) }
}

// Record returns a copy of what the stand-in was asked for so far.
func (p *platform) Record() PlatformRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.rec
	rec.Reads = maps.Clone(rec.Reads)
	rec.Waiting, rec.PeakWaiting, rec.PeakCalls = p.limiter.waiting, p.limiter.peakWaiting, p.limiter.peakCalls
	return rec
}

// SetDown makes the stand-in close connections without an answer, or ends that.
func (p *platform) SetDown(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	if down {
		p.Drop()
	}
}

func (p *platform) applyCommon(f *Fault) {
	if f.Down != nil {
		p.SetDown(*f.Down)
		f.Down = nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	consume(&p.limiter.rate, &f.Rate)
}

// limitCall counts a call and answers it if the stand-in is up and its rate allows.
func (p *platform) limitCall(ctx context.Context, rc *fasthttp.RequestCtx, handle func(ctx context.Context, rc *fasthttp.RequestCtx)) {
	p.mu.Lock()
	p.rec.Calls++
	down := p.down
	ok := !down && p.limiter.allow(p.cfg.now())
	switch {
	case down:
		p.rec.Dropped++
	case !ok:
		p.rec.Refused++
	}
	p.mu.Unlock()
	switch {
	case down:
		closeConnection(rc)
	case !ok:
		rc.Response.Header.Set("Retry-After", "1")
		writeError(rc, fasthttp.StatusTooManyRequests, "over the rate of calls")
	default:
		handle(ctx, rc)
	}
}

// countRead counts a read; the caller holds p.mu.
func (p *platform) countRead(path string) {
	if _, ok := p.rec.Reads[path]; !ok && len(p.rec.Reads) >= maxRecordKeys {
		path = overflowKey
	}
	p.rec.Reads[path]++
}

// rateLimiter limits calls in each second. A watch that waits counts in every second in which
// it waits.
type rateLimiter struct {
	rate        int // zero: no limit
	start       time.Time
	second      int // number of the current second
	used        int // calls begun in this second
	carriedOver int // waiting watches that began before it
	waiting     int
	peakWaiting int
	peakCalls   int
}

func (m *rateLimiter) allow(now time.Time) bool {
	if now.Sub(m.start) >= time.Second {
		m.start = now
		m.second++
		m.used, m.carriedOver = 0, m.waiting
	}
	if m.rate > 0 && m.used+m.carriedOver >= m.rate {
		return false
	}
	m.used++
	m.peakCalls = max(m.peakCalls, m.used+m.carriedOver)
	return true
}

// beginWatch counts a watch that begins to wait and returns a token for done.
func (m *rateLimiter) beginWatch() (second int) {
	m.waiting++
	m.peakWaiting = max(m.peakWaiting, m.waiting)
	return m.second
}

func (m *rateLimiter) endWatch(second int) {
	m.waiting--
	if second != m.second {
		m.carriedOver--
	}
}
