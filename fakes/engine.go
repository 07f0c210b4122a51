package fakes

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/wire"
)

const (
	// maxEndedCompletions bounds the finished and cancelled completions that can still be resumed;
	// the oldest are forgotten.
	maxEndedCompletions = 1024
	// maxOutputTokens bounds the output of one completion.
	maxOutputTokens = 1 << 16
	// defaultOutputTokens is the output of a completion that sets no max_tokens.
	defaultOutputTokens = 16
)

// Engine stands in for a model engine with continuous batching.
type Engine struct {
	upstream
	cache     *prefixCache
	fence     wire.TicketNumber
	hold      tokenHold
	workReady chan struct{} // tells the scheduler that there may be work

	waiting  []*completion // by priority, then arrival
	running  []*completion
	byID     map[string]*completion
	endedIDs []string // oldest first
}

// tokenHold stops token production except for the steps allowed.
type tokenHold struct {
	on        bool
	stepsLeft int
}

// completion is one call; it is guarded by the engine's mutex.
type completion struct {
	id, key   string
	prompt    string
	maxTokens int // tokens to produce
	priority  int // lower runs first
	produced  int
	usage     Usage
	state     completionState
	changed   chan struct{} // closed and replaced at each change
}

type completionState int

const (
	stateWaiting completionState = iota
	stateRunning
	stateFinished
	stateCancelled
)

// Usage is the usage object of an engine's answer.
type Usage struct {
	Prompt     wire.Tokens `json:"prompt_tokens"`
	Cached     wire.Tokens `json:"cached_tokens"`
	Completion wire.Tokens `json:"completion_tokens"`
	Busy       wire.Micros `json:"busy_micros"`
}

// NewEngine returns an engine that is not started.
func NewEngine(opts ...Option) *Engine {
	e := &Engine{workReady: make(chan struct{}, 1)}
	e.init(opts)
	e.server.handler = e.withCommonPaths(e.route)
	e.server.onRunStart = e.reset
	e.server.background = e.schedule
	e.server.onFault = e.applyFault
	return e
}

// Token returns token i of the completion of prompt; the text depends on nothing else.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	h.Write([]byte(prompt))
	return fmt.Sprintf("%08x.%d ", h.Sum32(), i)
}

// Text returns the completion of prompt with n tokens.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) reset(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetForRun(id)
	e.cache = newPrefixCache(&e.cfg)
	e.fence = 0
	e.waiting, e.running, e.endedIDs = nil, nil, nil
	e.byID = map[string]*completion{}
}

func (e *Engine) applyFault(f *Fault) {
	e.applyCommon(f)
	e.mu.Lock()
	consume(&e.cfg.fencing, &f.Fencing)
	e.mu.Unlock()
	if f.Hold != nil {
		e.setHold(tokenHold{on: *f.Hold})
		f.Hold = nil
	}
	if f.Step > 0 {
		e.Step(f.Step)
		f.Step = 0
	}
}

// GoCold turns the engine cold without a new boot identity; it loses its cache.
func (e *Engine) GoCold() {
	e.upstream.GoCold()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache != nil {
		e.cache.clear()
	}
}

// Hold stops token production until Release.
func (e *Engine) Hold() { e.setHold(tokenHold{on: true}) }

// Release ends Hold.
func (e *Engine) Release() { e.setHold(tokenHold{}) }

// Step allows n batch steps while held; each running call gets one token a step.
func (e *Engine) Step(n int) {
	e.mu.Lock()
	h := e.hold
	e.mu.Unlock()
	h.stepsLeft += n
	e.setHold(h)
}

func (e *Engine) setHold(h tokenHold) {
	e.mu.Lock()
	e.hold = h
	e.mu.Unlock()
	e.wakeScheduler()
}

func (e *Engine) wakeScheduler() {
	select {
	case e.workReady <- struct{}{}:
	default:
	}
}

// schedule runs batch steps until the run ends.
func (e *Engine) schedule(ctx context.Context) {
	for {
		d, ok := e.fillBatch(ctx)
		if ok {
			if !clock.Sleep(ctx, d) {
				return
			}
			e.produceTokens(ctx)
			continue
		}
		select {
		case <-e.workReady:
		case <-ctx.Done():
			return
		}
	}
}

// fillBatch fills the batch and returns the time of the next step; false when there is
// nothing to run.
func (e *Engine) fillBatch(ctx context.Context) (d time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || !e.alive || e.hold.on && e.hold.stepsLeft == 0 {
		return 0, false
	}
	d = e.cfg.tokenTime
	for len(e.waiting) > 0 && len(e.running) < e.slots() {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.startQueued()
		if e.crashIfPoisoned(c.prompt) {
			return 0, false
		}
		d += e.cfg.promptTime * time.Duration(e.prefill(c))
		c.state = stateRunning
		e.running = append(e.running, c)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	if e.hold.on {
		e.hold.stepsLeft--
	}
	return d, true
}

// prefill reads the prompt of c and returns how many of its tokens were not cached.
func (e *Engine) prefill(c *completion) (uncached int) {
	tokens := strings.Fields(c.prompt)
	found := e.cache.lookupAndStore(tokens)
	uncached = len(tokens) - found
	busy := e.cfg.promptCost * wire.Micros(uncached)
	c.usage.Prompt, c.usage.Cached, c.usage.Busy = wire.Tokens(len(tokens)), wire.Tokens(found), busy
	e.rec.addCost(c.key, wire.Cost{Input: c.usage.Prompt, Cached: c.usage.Cached, Calls: 1, Busy: busy})
	return uncached
}

// produceTokens gives each running completion a token.
func (e *Engine) produceTokens(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || !e.alive {
		return
	}
	for _, c := range slices.Clone(e.running) {
		c.produced++
		c.usage.Completion++
		c.usage.Busy += e.cfg.tokenCost
		e.rec.addCost(c.key, wire.Cost{Output: 1, Busy: e.cfg.tokenCost})
		if c.produced >= c.maxTokens {
			e.end(c, stateFinished)
			continue
		}
		c.notifyReaders()
	}
}

// submit accepts a completion; the caller holds e.mu.
func (e *Engine) submit(ctx context.Context, key, prompt string, want, priority int) (*completion, admission) {
	if got := e.admit(ctx); got != admitted {
		return nil, got
	}
	c := &completion{
		id: "cmpl-" + uuid.NewString(), key: key, prompt: prompt,
		maxTokens: want, priority: priority, changed: make(chan struct{}),
	}
	e.byID[c.id] = c
	at, _ := slices.BinarySearchFunc(e.waiting, priority, func(w *completion, p int) int {
		// Equal priorities sort as lower, which keeps the order of arrival.
		return cmp.Or(cmp.Compare(w.priority, p), -1)
	})
	e.waiting = slices.Insert(e.waiting, at, c)
	e.wakeScheduler()
	return c, admitted
}

// end moves c to its last state; the caller holds e.mu.
func (e *Engine) end(c *completion, state completionState) {
	if c.state == stateWaiting {
		e.waiting = slices.DeleteFunc(e.waiting, func(w *completion) bool { return w == c })
		e.startQueued()
	} else {
		e.running = slices.DeleteFunc(e.running, func(r *completion) bool { return r == c })
	}
	c.state = state
	e.releaseSlot(state == stateFinished)
	if state == stateFinished {
		e.rec.Finished++
		e.rec.addEffect(c.key)
	} else {
		e.rec.Cancelled++
	}
	e.endedIDs = append(e.endedIDs, c.id)
	if len(e.endedIDs) > maxEndedCompletions {
		delete(e.byID, e.endedIDs[0])
		e.endedIDs = e.endedIDs[1:]
	}
	c.notifyReaders()
	e.wakeScheduler()
}

// notifyReaders tells the readers of c that it changed; the engine's mutex is held.
func (c *completion) notifyReaders() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// waitForTokens waits until c has more than n tokens or has ended. It reports false when the
// run ends first.
func (e *Engine) waitForTokens(ctx context.Context, c *completion, n int) (made int, state completionState, usage Usage, ok bool) {
	for {
		e.mu.Lock()
		made, state, usage = c.produced, c.state, c.usage
		woken := c.changed
		e.mu.Unlock()
		if ctx.Err() != nil {
			return 0, 0, Usage{}, false
		}
		if made > n || state == stateFinished || state == stateCancelled {
			return made, state, usage, true
		}
		select {
		case <-woken:
		case <-ctx.Done():
		}
	}
}

// applyOrder carries out an order and returns the status of its answer.
func (e *Engine) applyOrder(o Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.fencing && o.Fence < e.fence {
		return 409
	}
	e.fence = max(e.fence, o.Fence)
	if o.Model != e.load.Model || o.Version != e.load.Version {
		e.cache.clear()
	}
	e.load.Model, e.load.Version, e.load.Adapters = o.Model, o.Version, append([]wire.AdapterID{}, o.Adapters...)
	e.saveReport()
	return 200
}
