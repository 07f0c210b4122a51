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
	// maxEndedCompletions is the number of finished and cancelled completions that can
	// still be resumed. The oldest are forgotten.
	maxEndedCompletions = 1024
	// maxOutputTokens is the largest max_tokens that a request may set.
	maxOutputTokens = 1 << 16
	// defaultOutputTokens is the output length if a request sets no max_tokens.
	defaultOutputTokens = 16
)

// Engine stands in for a model engine with continuous batching. In each batch step every
// running completion produces one token.
type Engine struct {
	upstream
	cache     *prefixCache
	fence     wire.TicketNumber // highest fence of the applied orders
	hold      tokenHold
	workReady chan struct{} // wakes the scheduler

	waiting  []*completion // queued completions by priority, then arrival
	running  []*completion
	byID     map[string]*completion
	endedIDs []string // IDs of ended completions that can be resumed, oldest first
}

// tokenHold says whether token production is stopped, and how many batch steps are still
// allowed meanwhile.
type tokenHold struct {
	on        bool
	stepsLeft int
}

// completion is one call to the engine. The engine's mutex guards it.
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

// Usage is the usage object of an engine's response.
type Usage struct {
	Prompt     wire.Tokens `json:"prompt_tokens"`
	Cached     wire.Tokens `json:"cached_tokens"`
	Completion wire.Tokens `json:"completion_tokens"`
	Busy       wire.Micros `json:"busy_micros"`
}

// NewEngine returns an engine. Start starts it.
func NewEngine(opts ...Option) *Engine {
	e := &Engine{workReady: make(chan struct{}, 1)}
	e.init(opts)
	e.server.handler = e.withCommonPaths(e.route)
	e.server.onRunStart = e.reset
	e.server.background = e.schedule
	e.server.onFault = e.applyFault
	return e
}

// Token returns token i, counted from zero, of the completion of prompt. The text depends
// only on prompt and i, so that callers can check the output.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	h.Write([]byte(prompt))
	return fmt.Sprintf("%08x.%d ", h.Sum32(), i)
}

// Text returns the text of the first n tokens of the completion of prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// reset prepares the engine for a run with an empty cache and no completions.
func (e *Engine) reset(boot string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetForRun(boot)
	e.cache = newPrefixCache(&e.cfg)
	e.fence = 0
	e.waiting, e.running, e.endedIDs = nil, nil, nil
	e.byID = map[string]*completion{}
}

// applyFault applies the fields of f that engines support and clears them.
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

// GoCold makes the engine cold and clears its cache, but keeps its boot identity.
func (e *Engine) GoCold() {
	e.upstream.GoCold()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache != nil {
		e.cache.clear()
	}
}

// Hold stops token production until Release is called.
func (e *Engine) Hold() { e.setHold(tokenHold{on: true}) }

// Release resumes token production after Hold.
func (e *Engine) Release() { e.setHold(tokenHold{}) }

// Step allows n more batch steps while token production is stopped. Each running call
// gets one token per step.
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

// wakeScheduler makes the scheduler check for work. It never blocks.
func (e *Engine) wakeScheduler() {
	select {
	case e.workReady <- struct{}{}:
	default:
	}
}

// schedule executes batch steps until the run ends.
func (e *Engine) schedule(ctx context.Context) {
	for {
		step, ok := e.fillBatch(ctx)
		if ok {
			if !clock.Sleep(ctx, step) {
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

// fillBatch moves waiting completions into free slots of the batch and returns the duration
// of the next batch step. It returns false if there is nothing to run.
func (e *Engine) fillBatch(ctx context.Context) (step time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || !e.alive || e.hold.on && e.hold.stepsLeft == 0 {
		return 0, false
	}
	step = e.cfg.tokenTime
	for len(e.waiting) > 0 && len(e.running) < e.slots() {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.startQueued()
		if e.crashIfPoisoned(c.prompt) {
			return 0, false
		}
		step += e.cfg.promptTime * time.Duration(e.prefill(c))
		c.state = stateRunning
		e.running = append(e.running, c)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	if e.hold.on {
		e.hold.stepsLeft--
	}
	return step, true
}

// prefill processes the prompt of c, charges its cost and returns how many of its tokens
// were not cached.
func (e *Engine) prefill(c *completion) (uncached int) {
	tokens := strings.Fields(c.prompt)
	cached := e.cache.lookupAndStore(tokens)
	uncached = len(tokens) - cached
	busy := e.cfg.promptCost * wire.Micros(uncached)
	c.usage.Prompt, c.usage.Cached, c.usage.Busy = wire.Tokens(len(tokens)), wire.Tokens(cached), busy
	e.rec.addCost(c.key, wire.Cost{Input: c.usage.Prompt, Cached: c.usage.Cached, Calls: 1, Busy: busy})
	return uncached
}

// produceTokens adds a token to each running completion and ends those that are complete.
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

// submit queues a new completion if the engine admits it; the caller holds e.mu.
func (e *Engine) submit(ctx context.Context, key, prompt string, maxTokens, priority int) (*completion, admission) {
	if admitResult := e.admit(ctx); admitResult != admitted {
		return nil, admitResult
	}
	c := &completion{
		id: "cmpl-" + uuid.NewString(), key: key, prompt: prompt,
		maxTokens: maxTokens, priority: priority, changed: make(chan struct{}),
	}
	e.byID[c.id] = c
	pos, _ := slices.BinarySearchFunc(e.waiting, priority, func(w *completion, p int) int {
		// Waiting completions of equal priority compare as lower, so that c comes after them
		// and the order of arrival is kept.
		return cmp.Or(cmp.Compare(w.priority, p), -1)
	})
	e.waiting = slices.Insert(e.waiting, pos, c)
	e.wakeScheduler()
	return c, admitted
}

// end moves c to its final state, finished or cancelled; the caller holds e.mu.
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

// notifyReaders tells the readers of c that it changed; the caller holds the engine's
// mutex.
func (c *completion) notifyReaders() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// waitForTokens waits until c has more than n tokens or has ended. It returns false if the
// run ends first.
func (e *Engine) waitForTokens(ctx context.Context, c *completion, n int) (produced int, state completionState, usage Usage, ok bool) {
	for {
		e.mu.Lock()
		produced, state, usage = c.produced, c.state, c.usage
		changed := c.changed
		e.mu.Unlock()
		if ctx.Err() != nil {
			return 0, 0, Usage{}, false
		}
		if produced > n || state == stateFinished || state == stateCancelled {
			return produced, state, usage, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// applyOrder loads the model and adapters that an order names and returns the HTTP status
// of the response: 409 if fencing is on and the fence is lower than the highest seen. A
// change of model or version clears the cache.
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
