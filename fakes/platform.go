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
	// Waiting is the number of watches that wait now; MostWaiting is its highest value.
	Waiting     int `json:"waiting"`
	MostWaiting int `json:"mostwaiting"`
	// Most is the highest use of the rate in one second, waiting watches included.
	Most int `json:"most"`
	// Reads counts answered calls by path.
	Reads map[string]int `json:"reads"`
}

// platform is the part that the platform's stand-ins share.
type platform struct {
	server
	set settings

	mu    sync.Mutex
	down  bool
	meter meter
	rec   PlatformRecord
}

func (p *platform) init(opts []Option, handle func(ctx context.Context, rc *fasthttp.RequestCtx)) {
	p.set = newSettings(opts)
	p.meter.rate = p.set.rate
	p.rec.Reads = map[string]int{}
	p.server.begin = func(string) {}
	p.server.record = func() any { return p.Record() }
	p.server.handle = func(ctx context.Context, rc *fasthttp.RequestCtx) { p.gate(ctx, rc, handle) }
}

// Record returns a copy of what the stand-in was asked for so far.
func (p *platform) Record() PlatformRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.rec
	rec.Reads = maps.Clone(rec.Reads)
	rec.Waiting, rec.MostWaiting, rec.Most = p.meter.waiting, p.meter.mostWaiting, p.meter.most
	return rec
}

// Down makes the stand-in close connections without an answer, or ends that.
func (p *platform) Down(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	if down {
		p.Drop()
	}
}

func (p *platform) applyCommon(f *Fault) {
	if f.Down != nil {
		p.Down(*f.Down)
		f.Down = nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	take(&p.meter.rate, &f.Rate)
}

// gate counts a call and answers it if the stand-in is up and its rate allows.
func (p *platform) gate(ctx context.Context, rc *fasthttp.RequestCtx, handle func(ctx context.Context, rc *fasthttp.RequestCtx)) {
	p.mu.Lock()
	p.rec.Calls++
	down := p.down
	ok := !down && p.meter.take(p.set.now())
	switch {
	case down:
		p.rec.Dropped++
	case !ok:
		p.rec.Refused++
	}
	p.mu.Unlock()
	switch {
	case down:
		hangUp(rc)
	case !ok:
		rc.Response.Header.Set("Retry-After", "1")
		fail(rc, fasthttp.StatusTooManyRequests, "over the rate of calls")
	default:
		handle(ctx, rc)
	}
}

// answered counts a read; the caller holds p.mu.
func (p *platform) answered(path string) {
	if _, ok := p.rec.Reads[path]; !ok && len(p.rec.Reads) >= maxKeys {
		path = overflowKey
	}
	p.rec.Reads[path]++
}

// meter limits calls in each second. A watch that waits counts in every second in which
// it waits.
type meter struct {
	rate        int // zero: no limit
	start       time.Time
	second      int // number of the current second
	used        int // calls begun in this second
	carried     int // waiting watches that began before it
	waiting     int
	mostWaiting int
	most        int
}

func (m *meter) take(now time.Time) bool {
	if now.Sub(m.start) >= time.Second {
		m.start = now
		m.second++
		m.used, m.carried = 0, m.waiting
	}
	if m.rate > 0 && m.used+m.carried >= m.rate {
		return false
	}
	m.used++
	m.most = max(m.most, m.used+m.carried)
	return true
}

// wait counts a watch that begins to wait and returns a token for done.
func (m *meter) wait() (second int) {
	m.waiting++
	m.mostWaiting = max(m.mostWaiting, m.waiting)
	return m.second
}

func (m *meter) done(second int) {
	m.waiting--
	if second != m.second {
		m.carried--
	}
}
