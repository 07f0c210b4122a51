package fakes

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// PlatformRecord counts the calls that a platform stand-in received in all runs.
type PlatformRecord struct {
	// Calls counts all calls, Refused those over the rate limit, and Dropped those that
	// were closed without an answer because the stand-in was down or ended.
	Calls   int `json:"calls"`
	Refused int `json:"refused"`
	Dropped int `json:"dropped"`
	// Waiting is the number of watches that are waiting now; PeakWaiting is its maximum.
	Waiting     int `json:"waiting"`
	PeakWaiting int `json:"mostwaiting"`
	// PeakCalls is the highest number of calls counted against the rate limit in one
	// second, including waiting watches.
	PeakCalls int `json:"most"`
	// Reads counts answered calls by path.
	Reads map[string]int `json:"reads"`
}

// platform is embedded by the stand-ins for parts of the platform. It adds the rate limit,
// the down state and the record to server.
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

// Record returns a copy of the current record.
func (p *platform) Record() PlatformRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.rec
	rec.Reads = maps.Clone(rec.Reads)
	rec.Waiting, rec.PeakWaiting, rec.PeakCalls = p.limiter.waiting, p.limiter.peakWaiting, p.limiter.peakCalls
	return rec
}

// SetDown makes the stand-in close connections without an answer if down is true, and
// answer again if it is false.
func (p *platform) SetDown(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	if down {
		p.Drop()
	}
}

// applyCommon applies the fields of f that all platform stand-ins support and clears them.
func (p *platform) applyCommon(f *Fault) {
	if f.Down != nil {
		p.SetDown(*f.Down)
		f.Down = nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	consume(&p.limiter.rate, &f.Rate)
}

// limitCall counts a call and passes it to handle if the stand-in is up and the rate limit
// allows it.
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

// countRead counts an answered call to path; the caller holds p.mu.
func (p *platform) countRead(path string) {
	if _, ok := p.rec.Reads[path]; !ok && len(p.rec.Reads) >= maxRecordKeys {
		path = overflowKey
	}
	p.rec.Reads[path]++
}

// rateLimiter limits calls per second. A waiting watch counts in every second in which it
// waits.
type rateLimiter struct {
	rate        int       // calls per second; zero means no limit
	start       time.Time // start of the current second
	second      int       // number of the current second
	used        int       // calls begun in the current second
	carriedOver int       // waiting watches that began in an earlier second
	waiting     int
	peakWaiting int
	peakCalls   int
}

// allow counts a call at now and reports whether it is within the limit.
func (l *rateLimiter) allow(now time.Time) bool {
	if now.Sub(l.start) >= time.Second {
		l.start = now
		l.second++
		l.used, l.carriedOver = 0, l.waiting
	}
	if l.rate > 0 && l.used+l.carriedOver >= l.rate {
		return false
	}
	l.used++
	l.peakCalls = max(l.peakCalls, l.used+l.carriedOver)
	return true
}

// beginWatch counts a watch that begins to wait. The result is to be passed to endWatch.
func (l *rateLimiter) beginWatch() (second int) {
	l.waiting++
	l.peakWaiting = max(l.peakWaiting, l.waiting)
	return l.second
}

// endWatch counts the end of a watch that began to wait in the given second.
func (l *rateLimiter) endWatch(second int) {
	l.waiting--
	if second != l.second {
		l.carriedOver--
	}
}
