package fakes

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/wire"
)

const (
	// maxLoadReports is the number of states kept for a lagged load report. The oldest are
	// dropped, which shortens the lag.
	maxLoadReports = 4096
	// maxMuteTime is the time after which the handler of a call that is never answered
	// returns.
	maxMuteTime = 10 * time.Minute
	// defaultColdSlots is the capacity of an upstream that turns cold without WithColdStart.
	defaultColdSlots = 1
)

// Load is the response to GET /load. Flight counts the running calls and Queued the waiting
// ones.
type Load struct {
	Boot     wire.BootID      `json:"boot"`
	Cold     bool             `json:"cold"`
	Flight   wire.Slots       `json:"flight"`
	Queued   wire.Slots       `json:"queued"`
	Model    wire.ModelID     `json:"model"`
	Version  wire.Version     `json:"version"`
	Adapters []wire.AdapterID `json:"adapters"`
}

// timestampedLoad is a load report and the time from which it is valid.
type timestampedLoad struct {
	at   time.Time
	load Load
}

// faults holds the injected faults that are in effect.
type faults struct {
	delay                        time.Duration
	failRate, loseRate, muteRate float64
	poison                       string
	lag                          time.Duration // age of the load reports
	frozen                       bool          // whether the load report keeps its value
}

// upstream is embedded by Engine and Service. It adds admission, cold starts, load reports
// and injected faults to server.
type upstream struct {
	server
	cfg settings

	mu            sync.Mutex
	alive         bool // false from a crash until the next run
	load          Load
	reports       []timestampedLoad // load reports that the lag needs, newest last
	coldCompleted int               // calls completed since the upstream became cold
	faults        faults
	rec           Record
	rng           *rand.Rand
}

func (u *upstream) init(opts []Option) {
	u.cfg = newSettings(opts)
	u.rng = rand.New(rand.NewPCG(u.cfg.seed, 0))
	u.faults = faults{delay: u.cfg.delay, poison: u.cfg.poison, lag: u.cfg.lag}
	u.rec = Record{Effects: map[string]int{}, Costs: map[string]wire.Cost{}, Orders: []Order{}}
	u.server.record = func() any { return u.Record() }
}

// resetForRun resets the state that a process loses when it restarts, and records the calls
// that the previous run still held as lost; the caller holds u.mu.
func (u *upstream) resetForRun(boot string) {
	u.rec.Lost += int(u.load.Flight + u.load.Queued)
	u.load = Load{
		Boot: wire.BootID(boot), Cold: u.cfg.coldSlots > 0,
		Model: u.cfg.model, Version: u.cfg.version, Adapters: append([]wire.AdapterID{}, u.cfg.adapters...),
	}
	u.alive, u.coldCompleted, u.reports, u.faults.frozen = true, 0, nil, false
	u.rec.Boots = append(u.rec.Boots, u.load.Boot)
	u.saveReport()
}

// Record returns a copy of the current record. If the run has ended, the calls that it
// still held count as lost.
func (u *upstream) Record() Record {
	u.mu.Lock()
	defer u.mu.Unlock()
	rec := u.rec.clone()
	if r, _ := u.currentRun(); r != nil && r.ctx.Err() != nil {
		rec.Lost += u.held()
	}
	return rec
}

// Load returns the current state, without the lag of the load report.
func (u *upstream) Load() Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.load
}

// GoCold makes a running upstream cold without a new boot identity.
func (u *upstream) GoCold() { u.setCold(true) }

// Warm makes a cold upstream warm without waiting for completed calls.
func (u *upstream) Warm() { u.setCold(false) }

// setCold makes the upstream cold or warm and restarts the count of completed calls.
func (u *upstream) setCold(cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load.Cold, u.coldCompleted = cold, 0
	u.saveReport()
}

// coldSlots returns how many calls a cold upstream can hold.
func (u *upstream) coldSlots() int {
	if u.cfg.coldSlots > 0 {
		return u.cfg.coldSlots
	}
	return defaultColdSlots
}

// slots returns how many calls may run concurrently; the caller holds u.mu.
func (u *upstream) slots() int {
	if u.load.Cold {
		return u.coldSlots()
	}
	return u.cfg.slots
}

// held returns the number of running and queued calls; the caller holds u.mu.
func (u *upstream) held() int { return int(u.load.Flight + u.load.Queued) }

// admission is the result of admitting a call.
type admission int

const (
	admitted admission = iota
	refused
	crashed // the upstream has crashed, or this call crashed it
)

// admit queues a new call, refuses it if the capacity is exhausted, or crashes a cold
// upstream that cannot hold it; the caller holds u.mu.
func (u *upstream) admit(ctx context.Context) admission {
	if !u.alive || ctx.Err() != nil {
		return crashed
	}
	held := u.held() + 1
	if u.load.Cold {
		u.rec.PeakColdHeld = max(u.rec.PeakColdHeld, held)
		if held > u.coldSlots() {
			u.rec.OverloadCrashes++
			u.crash()
			return crashed
		}
	} else if held > u.cfg.slots+u.cfg.queueLimit {
		u.rec.Refused++
		return refused
	}
	u.rec.PeakHeld = max(u.rec.PeakHeld, held)
	u.rec.Begun++
	u.load.Queued++
	u.saveReport()
	return admitted
}

// startQueued counts a queued call as running; the caller holds u.mu.
func (u *upstream) startQueued() {
	u.load.Queued--
	u.load.Flight++
	u.saveReport()
}

// releaseSlot frees the slot of a running call. Completed calls count towards warming up.
// The caller holds u.mu.
func (u *upstream) releaseSlot(completed bool) {
	u.load.Flight--
	if completed && u.load.Cold {
		u.coldCompleted++
		if u.coldCompleted >= u.cfg.warmAfter {
			u.load.Cold = false
		}
	}
	u.saveReport()
}

// crash crashes the upstream; the caller holds u.mu.
func (u *upstream) crash() {
	u.alive = false
	u.server.Crash()
}

// crashIfPoisoned crashes the upstream and returns true if text contains the poison text;
// the caller holds u.mu.
func (u *upstream) crashIfPoisoned(text string) bool {
	if u.faults.poison == "" || !strings.Contains(text, u.faults.poison) {
		return false
	}
	u.rec.PoisonCrashes++
	u.crash()
	return true
}

// saveReport saves the current state as a load report and drops the reports that are no
// longer needed for the lag; the caller holds u.mu.
func (u *upstream) saveReport() {
	if u.faults.frozen {
		return
	}
	now := u.cfg.now()
	if u.faults.lag == 0 {
		u.reports = u.reports[:0]
	}
	u.reports = append(u.reports, timestampedLoad{now, u.load})
	first := 0
	for first+1 < len(u.reports) && (len(u.reports)-first > maxLoadReports || !u.reports[first+1].at.After(now.Add(-u.faults.lag))) {
		first++
	}
	u.reports = u.reports[first:]
}

// loadReport returns the newest load report that is at least as old as the lag, or the
// oldest one if there is none.
func (u *upstream) loadReport() Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.frozen {
		return u.reports[0].load
	}
	cutoff := u.cfg.now().Add(-u.faults.lag)
	visible := u.reports[0]
	for _, r := range u.reports[1:] {
		if r.at.After(cutoff) {
			break
		}
		visible = r
	}
	return visible.load
}

// freeze makes the load report keep its present value, or follow the state again.
func (u *upstream) freeze(frozen bool) {
	report := u.loadReport()
	u.mu.Lock()
	defer u.mu.Unlock()
	if frozen {
		u.reports = []timestampedLoad{{u.cfg.now(), report}}
		u.faults.frozen = true
		return
	}
	u.faults.frozen = false
	u.saveReport()
}

// applyCommon applies the fields of f that all upstreams support and clears them.
func (u *upstream) applyCommon(f *Fault) {
	if f.Cold != nil {
		u.setCold(*f.Cold)
		f.Cold = nil
	}
	if f.Stale != nil {
		u.freeze(*f.Stale)
		f.Stale = nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	consumeMillis(&u.faults.delay, &f.Delay)
	consumeMillis(&u.faults.lag, &f.Lag)
	consume(&u.faults.failRate, &f.Fail)
	consume(&u.faults.loseRate, &f.Lose)
	consume(&u.faults.muteRate, &f.Mute)
	consume(&u.faults.poison, &f.Poison)
}

// outcome is what happens to a call under the injected faults.
type outcome int

const (
	outcomeAnswer      outcome = iota
	outcomeFail                // answered 500 without being executed
	outcomeLoseAnswer          // executed, then the connection is closed
	outcomeNeverAnswer         // executed, but never answered
)

// drawOutcome draws the outcome of a call at random; the caller holds u.mu.
func (u *upstream) drawOutcome() outcome {
	p := u.rng.Float64()
	switch f := u.faults; {
	case p < f.failRate:
		return outcomeFail
	case p < f.failRate+f.loseRate:
		return outcomeLoseAnswer
	case p < f.failRate+f.loseRate+f.muteRate:
		return outcomeNeverAnswer
	}
	return outcomeAnswer
}

// respond answers a call that was executed, or closes its connection if the outcome is a
// lost or missing answer.
func (u *upstream) respond(ctx context.Context, rc *fasthttp.RequestCtx, callOutcome outcome, writeAnswer func()) {
	switch callOutcome {
	case outcomeLoseAnswer:
		closeConnection(rc)
	case outcomeNeverAnswer:
		clock.Sleep(ctx, maxMuteTime)
		closeConnection(rc)
	default:
		writeAnswer()
	}
}

// withCommonPaths returns a handler that serves GET /load, passes other requests to handler
// and sets the header Upstream-Boot.
func (u *upstream) withCommonPaths(handler func(ctx context.Context, rc *fasthttp.RequestCtx)) func(context.Context, *fasthttp.RequestCtx) {
	return func(ctx context.Context, rc *fasthttp.RequestCtx) {
		boot := string(u.Load().Boot)
		if string(rc.Path()) == "/load" && rc.IsGet() {
			writeJSON(rc, fasthttp.StatusOK, u.loadReport())
		} else {
			handler(ctx, rc)
		}
		rc.Response.Header.Set("Upstream-Boot", boot)
	}
}
