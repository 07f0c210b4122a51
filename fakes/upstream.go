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
	// maxLoadReports bounds the states kept for a lagged load report; the oldest are
	// dropped, which shortens the lag.
	maxLoadReports = 4096
	// maxMuteTime bounds how long a call that is never answered holds its handler.
	maxMuteTime = 10 * time.Minute
	// defaultColdSlots is the capacity of an upstream that turns cold without WithColdStart.
	defaultColdSlots = 1
)

// Load is the answer to GET /load.
type Load struct {
	Boot     wire.BootID      `json:"boot"`
	Cold     bool             `json:"cold"`
	Flight   wire.Slots       `json:"flight"`
	Queued   wire.Slots       `json:"queued"`
	Model    wire.ModelID     `json:"model"`
	Version  wire.Version     `json:"version"`
	Adapters []wire.AdapterID `json:"adapters"`
}

type timestampedLoad struct {
	at   time.Time
	load Load
}

type faults struct {
	delay                        time.Duration
	failRate, loseRate, muteRate float64
	poison                       string
	lag                          time.Duration
	frozen                       bool
}

// upstream is the part that engines and services share.
type upstream struct {
	server
	cfg settings

	mu            sync.Mutex
	alive         bool // false from a crash until the next run
	load          Load
	reports       []timestampedLoad // newest last
	coldCompleted int               // calls completed in the cold start
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

// resetForRun resets the state that a process loses; the caller holds u.mu.
func (u *upstream) resetForRun(id string) {
	u.rec.Lost += int(u.load.Flight + u.load.Queued)
	u.load = Load{
		Boot: wire.BootID(id), Cold: u.cfg.coldSlots > 0,
		Model: u.cfg.model, Version: u.cfg.version, Adapters: append([]wire.AdapterID{}, u.cfg.adapters...),
	}
	u.alive, u.coldCompleted, u.reports, u.faults.frozen = true, 0, nil, false
	u.rec.Boots = append(u.rec.Boots, u.load.Boot)
	u.saveReport()
}

// Record returns a copy of what the upstream did so far.
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

// GoCold turns a running upstream cold without a new boot identity.
func (u *upstream) GoCold() { u.setCold(true) }

// Warm ends a cold start.
func (u *upstream) Warm() { u.setCold(false) }

func (u *upstream) setCold(cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load.Cold, u.coldCompleted = cold, 0
	u.saveReport()
}

func (u *upstream) coldSlots() int {
	if u.cfg.coldSlots > 0 {
		return u.cfg.coldSlots
	}
	return defaultColdSlots
}

// slots returns how many calls may run at once.
func (u *upstream) slots() int {
	if u.load.Cold {
		return u.coldSlots()
	}
	return u.cfg.slots
}

func (u *upstream) held() int { return int(u.load.Flight + u.load.Queued) }

type admission int

const (
	admitted admission = iota
	refused
	crashed
)

// admit counts a new call as queued, refuses it or crashes; the caller holds u.mu.
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

// startQueued moves a call from queued to running; the caller holds u.mu.
func (u *upstream) startQueued() {
	u.load.Queued--
	u.load.Flight++
	u.saveReport()
}

// releaseSlot ends a running call; the caller holds u.mu.
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

// crashIfPoisoned crashes the upstream if text contains the poison; the caller holds u.mu.
func (u *upstream) crashIfPoisoned(text string) bool {
	if u.faults.poison == "" || !strings.Contains(text, u.faults.poison) {
		return false
	}
	u.rec.PoisonCrashes++
	u.crash()
	return true
}

// saveReport keeps the current state for the load report; the caller holds u.mu.
func (u *upstream) saveReport() {
	if u.faults.frozen {
		return
	}
	now := u.cfg.now()
	if u.faults.lag == 0 {
		u.reports = u.reports[:0]
	}
	u.reports = append(u.reports, timestampedLoad{now, u.load})
	old := 0
	for old+1 < len(u.reports) && (len(u.reports)-old > maxLoadReports || !u.reports[old+1].at.After(now.Add(-u.faults.lag))) {
		old++
	}
	u.reports = u.reports[old:]
}

// loadReport returns the load report with its lag.
func (u *upstream) loadReport() Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.frozen {
		return u.reports[0].load
	}
	due := u.cfg.now().Add(-u.faults.lag)
	best := u.reports[0]
	for _, r := range u.reports[1:] {
		if r.at.After(due) {
			break
		}
		best = r
	}
	return best.load
}

// freeze makes the load report keep its present value.
func (u *upstream) freeze(frozen bool) {
	now := u.loadReport()
	u.mu.Lock()
	defer u.mu.Unlock()
	if frozen {
		u.reports = []timestampedLoad{{u.cfg.now(), now}}
		u.faults.frozen = true
		return
	}
	u.faults.frozen = false
	u.saveReport()
}

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

type outcome int

const (
	outcomeAnswer outcome = iota
	outcomeFail
	outcomeLoseAnswer
	outcomeNeverAnswer
)

// drawOutcome chooses what happens to a call; the caller holds u.mu.
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

// respond answers a call that was executed, unless its fate is to lose the answer.
func (u *upstream) respond(ctx context.Context, rc *fasthttp.RequestCtx, fate outcome, answer func()) {
	switch fate {
	case outcomeLoseAnswer:
		closeConnection(rc)
	case outcomeNeverAnswer:
		clock.Sleep(ctx, maxMuteTime)
		closeConnection(rc)
	default:
		answer()
	}
}

// withCommonPaths wraps the handler of an upstream with the paths and headers common to all.
func (u *upstream) withCommonPaths(h func(ctx context.Context, rc *fasthttp.RequestCtx)) func(context.Context, *fasthttp.RequestCtx) {
	return func(ctx context.Context, rc *fasthttp.RequestCtx) {
		boot := string(u.Load().Boot)
		if string(rc.Path()) == "/load" && rc.IsGet() {
			writeJSON(rc, fasthttp.StatusOK, u.loadReport())
		} else {
			h(ctx, rc)
		}
		rc.Response.Header.Set("Upstream-Boot", boot)
	}
}
