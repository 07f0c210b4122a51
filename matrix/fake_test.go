package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"hornbeamcove.example/agent"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/wire"
)

const (
	plainTime = 20 * time.Millisecond
	// keepTime is that of the non-repeatable stage, long enough that most faults
	// find one under way.
	keepTime   = 100 * time.Millisecond
	tokenTime  = 20 * time.Millisecond
	tokenCount = 6
	downTime   = 500 * time.Millisecond // of a crashed upstream
	coldTime   = 1500 * time.Millisecond
	coldBound  = 2
	warmBound  = 4
	// askLimit is the time in which a process that asks for load reports has one.
	askLimit = time.Second
	// baseTickets is the number of tickets that a world starts with.
	baseTickets = 1
)

// stageBody is what a stage receives; the fakes compute on its compact form.
type stageBody struct {
	Body  json.RawMessage `json:"body"`
	Prior json.RawMessage `json:"prior"`
}

// callerBody is the body of every request. Key identifies the caller's request.
type callerBody struct {
	Key    string `json:"key"`
	Poison bool   `json:"poison,omitempty"`
}

func compact(b []byte) string {
	var out bytes.Buffer
	if json.Compact(&out, b) != nil {
		return "invalid"
	}
	return out.String()
}

func sum(parts ...string) string {
	h := fnv.New64a()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// compute is the pure function that every fake upstream applies: a plain stage
// has an output, a generating one tokens.
func compute(stage wire.StageID, kind wire.Kind, body, prior []byte) (out []byte, tokens []string) {
	s := sum(string(stage), compact(body), compact(prior))
	if kind != wire.KindGenerate {
		return []byte(`{"sum":"` + s + `"}`), nil
	}
	for i := range tokenCount {
		tokens = append(tokens, fmt.Sprintf("%s.%d ", s, i))
	}
	return nil, tokens
}

// expected is the whole answer to a body, and the text of its last stage.
func expected(stages []wire.Stage, body []byte) (out []byte, text string) {
	out = []byte("null")
	for _, st := range stages {
		var tokens []string
		text = ""
		if out, tokens = compute(st.Name, st.Kind, body, out); tokens != nil {
			for _, t := range tokens {
				text += t
			}
			out, _ = json.Marshal(map[string]string{"text": text})
		}
	}
	return out, text
}

// Ends of a call at a fake upstream.
const (
	endDone      = "done"
	endFailed    = "failed"
	endCancelled = "cancelled"
	endCrashed   = "crashed"
	endSilent    = "silent" // the connection was silent at the end
)

// callRecord is one call as the fake upstream saw it.
type callRecord struct {
	up     *upstream
	proc   *process // that gave it
	ref    wire.Ref
	token  wire.Token
	key    string
	router wire.HostID
	begun  time.Time
	ended  time.Time
	end    string
	held   int  // calls that the upstream held, this one included
	knew   bool // the giver had been told that this run of the upstream is cold
}

// orderRecord is one order as the fake upstream saw it.
type orderRecord struct {
	at    time.Time
	proc  *process
	order agent.Order
	taken bool
}

// work is one call under way at an upstream.
type work struct {
	rec  *callRecord
	out  chan event
	stop chan struct{} // closed by a crash or a cancel
	mute bool          // its connection is silent
}

type event struct {
	token string
	out   []byte
	err   error
	end   bool
}

// upstream is a fake upstream, shared by all processes that call it. Its fields
// are guarded by w.mu.
type upstream struct {
	w       *world
	id      wire.UpstreamID
	kind    wire.Kind
	centre  wire.DataCentreID
	fencing bool

	boot     int
	coldFrom time.Time
	coldTill time.Time
	heard    time.Time // since when load reports can be had again
	downTill time.Time
	slow     bool
	failing  bool
	silent   bool
	work     map[*work]struct{}
	loaded   agent.Loaded
	fence    wire.TicketNumber
	told     map[*process]time.Time // when a process learnt that this run is cold
	orders   []orderRecord
	poisoned int // crashes under a poisoned request
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldTill) }

func (u *upstream) down(now time.Time) bool { return now.Before(u.downTill) }

// crash ends the run of the upstream with all calls in flight. The caller holds
// w.mu.
func (u *upstream) crash(down time.Duration) {
	now := time.Now()
	u.boot++
	u.downTill = now.Add(down)
	u.coldFrom = u.downTill
	u.coldTill = now.Add(down + coldTime)
	u.told = map[*process]time.Time{}
	for wk := range u.work {
		u.finish(wk, endCrashed, event{err: &agent.UpstreamError{Sent: true, Reset: true, Err: errors.New("connection reset")}})
	}
}

// finish ends a call once. The caller holds w.mu.
func (u *upstream) finish(wk *work, end string, e event) {
	if _, ok := u.work[wk]; !ok {
		return
	}
	delete(u.work, wk)
	wk.rec.end, wk.rec.ended = end, time.Now()
	close(wk.stop)
	if wk.mute {
		wk.rec.end = endSilent
		return
	}
	e.end = true
	wk.out <- e
}

var errRefused = &agent.UpstreamError{Err: errors.New("connection refused")}

// begin starts a call.
func (u *upstream) begin(p *process, c *wire.Call) (*work, error) {
	var in stageBody
	var body callerBody
	if err := errors.Join(json.Unmarshal(c.Input, &in), json.Unmarshal(in.Body, &body)); err != nil {
		return nil, &agent.UpstreamError{Err: err}
	}
	w := u.w
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if u.down(now) {
		return nil, errRefused
	}
	rec := &callRecord{
		up: u, proc: p, ref: c.Ref, token: c.Token, key: body.Key, begun: now,
		knew: u.cold(now) && u.knew(p, now), router: w.routerOf[c.Ref.Request],
	}
	wk := &work{rec: rec, out: make(chan event, tokenCount+2), stop: make(chan struct{}), mute: u.silent}
	u.work[wk] = struct{}{}
	rec.held = len(u.work)
	w.calls = append(w.calls, rec)
	w.wg.Go(func() { u.run(wk, c, &in, body.Poison) })
	return wk, nil
}

// knew reports whether p could know before now that this run of the upstream is
// cold: a load report or a reset told it so, or it could have asked for a second.
// The caller holds w.mu.
func (u *upstream) knew(p *process, now time.Time) bool {
	if told, ok := u.told[p]; ok && told.Before(now) {
		return true
	}
	since := u.heard
	for _, t := range []time.Time{u.coldFrom, p.born, p.resumedAt()} {
		if t.After(since) {
			since = t
		}
	}
	return !u.silent && now.Sub(since) > askLimit
}

// run works on a call.
func (u *upstream) run(wk *work, c *wire.Call, in *stageBody, poison bool) {
	if poison && !u.sleep(wk, 10*time.Millisecond) {
		return
	}
	out, tokens := compute(c.Ref.Stage, c.Kind, in.Body, in.Prior)
	took := plainTime
	if c.Once {
		took = keepTime
	}
	if tokens == nil && (!u.sleep(wk, took/2) || !u.effect(wk) || !u.sleep(wk, took/2)) {
		return
	}
	for i, t := range tokens {
		if !u.sleep(wk, tokenTime) {
			return
		}
		u.w.mu.Lock()
		fail := u.failing && i == tokenCount/2
		if !fail && !wk.mute {
			wk.out <- event{token: t}
		}
		u.w.mu.Unlock()
		if fail {
			break
		}
	}
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	switch {
	case poison:
		u.poisoned++
		u.crash(downTime)
	case u.failing:
		u.finish(wk, endFailed, event{err: &agent.UpstreamError{Sent: true, Status: 500, Err: errors.New("internal error")}})
	default:
		u.finish(wk, endDone, event{out: out})
	}
}

// effect counts the effect of a call with a token.
func (u *upstream) effect(wk *work) bool {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	if _, ok := u.work[wk]; ok && wk.rec.token != "" {
		u.w.effects[wk.rec.token]++
	}
	return true
}

// sleep reports whether the call goes on after d, or 20 times d while slow.
func (u *upstream) sleep(wk *work, d time.Duration) bool {
	u.w.mu.Lock()
	if u.slow {
		d *= 20
	}
	u.w.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-wk.stop:
		return false
	}
}

// cancel ends a call whose connection the giver closed.
func (u *upstream) cancel(wk *work) {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	u.finish(wk, endCancelled, event{err: context.Canceled})
}

// mute silences the connections of the calls under way. The caller holds w.mu.
func (u *upstream) mute() {
	for wk := range u.work {
		wk.mute = true
	}
}

// client is a process's connection to an upstream; it implements agent.Upstream.
type client struct {
	u *upstream
	p *process
}

func (c client) Run(ctx context.Context, call *wire.Call, emit func([]byte) error) (a agent.Answer, err error) {
	c.p.wait()
	if c.p.isDead() {
		return a, context.Canceled
	}
	if err = agent.CheckSend(ctx); err != nil {
		return a, err
	}
	c.u.w.observe("execute", where{agent: c.p.name, up: c.u, router: c.u.w.routerFor(call.Ref.Request)})
	wk, err := c.u.begin(c.p, call)
	if err != nil {
		return a, err
	}
	a.Cost.Calls = 1
	for {
		select {
		case e := <-wk.out:
			c.p.wait()
			switch {
			case c.p.isDead():
				return a, context.Canceled
			case e.end:
				c.learn(e.err)
				a.Output = e.out
				return a, e.err
			}
			if err = emit([]byte(e.token)); err != nil {
				c.u.cancel(wk)
				return a, &agent.UpstreamError{Sent: true, Err: err}
			}
		case <-ctx.Done():
			c.p.wait()
			if !c.p.isDead() {
				c.u.cancel(wk)
				c.u.w.observe("cancel", where{agent: c.p.name, up: c.u, router: wk.rec.router})
			}
			return a, ctx.Err()
		case <-c.p.dead:
			// The upstream does not see the end of the connection.
			return a, context.Canceled
		}
	}
}

// learn records that a reset told the process of a crash.
func (c client) learn(err error) {
	var ue *agent.UpstreamError
	if !errors.As(err, &ue) || !ue.Reset {
		return
	}
	c.u.w.mu.Lock()
	defer c.u.w.mu.Unlock()
	if _, ok := c.u.told[c.p]; !ok {
		c.u.told[c.p] = time.Now()
	}
}

func (c client) Load(ctx context.Context) (ev limit.LoadReport, l agent.Loaded, err error) {
	c.p.wait()
	if c.p.isDead() {
		return ev, l, context.Canceled
	}
	w := c.u.w
	w.mu.Lock()
	silent, down := c.u.silent, c.u.down(time.Now())
	w.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return ev, l, ctx.Err()
	case down:
		return ev, l, errRefused
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	ev = limit.LoadReport{Boot: wire.BootID(fmt.Sprintf("%s-%d", c.u.id, c.u.boot)), Cold: c.u.cold(now), InFlight: wire.Slots(len(c.u.work))}
	if _, ok := c.u.told[c.p]; ev.Cold && !ok {
		c.u.told[c.p] = now
	}
	return ev, c.u.loaded, nil
}

func (c client) Order(_ context.Context, o agent.Order) error {
	c.p.wait()
	if c.p.isDead() {
		return context.Canceled
	}
	c.u.w.observe("give order", where{agent: c.p.name, up: c.u})
	time.Sleep(20 * time.Millisecond)
	c.p.wait()
	w := c.u.w
	w.mu.Lock()
	defer w.mu.Unlock()
	rec := orderRecord{at: time.Now(), proc: c.p, order: o}
	defer func() { c.u.orders = append(c.u.orders, rec) }()
	switch {
	case c.u.down(rec.at):
		return errRefused
	case c.u.fencing && o.Fence < c.u.fence:
		return &agent.UpstreamError{Sent: true, Status: 409, Err: errors.New("stale fence")}
	}
	rec.taken = true
	c.u.fence = max(c.u.fence, o.Fence)
	c.u.loaded = o.Loaded
	return nil
}

func (c client) Prefixes() []wire.Fingerprint { return nil }

// published is a ticket with the time of its publication.
type published struct {
	at     time.Time
	ticket wire.Ticket
	raw    json.RawMessage
}

// platform is the fake platform. Its fields are guarded by w.mu.
type platform struct {
	w       *world
	tickets []published
	outages []span // in which tickets can't be read or are stale; an open one has no end
	down    bool
	stale   int // tickets that a stale platform shows; -1 while it is not stale
	changed chan struct{}
	frozen  []plat.Host // lagging host list
	wrong   bool
}

// span is a period of time; a zero end means that it lasts.
type span struct{ from, to time.Time }

func (p *platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// fail makes the platform down, or stale as of now. The caller holds w.mu.
func (p *platform) fail(stale bool) {
	p.outages = append(p.outages, span{from: time.Now()})
	p.down = !stale
	if stale {
		p.stale = baseTickets
	}
	p.wake()
}

func (p *platform) recover() {
	if n := len(p.outages); n > 0 && p.outages[n-1].to.IsZero() {
		p.outages[n-1].to = time.Now()
	}
	p.down, p.stale = false, -1
	p.wake()
}

// inForce returns the time by which a ticket published at t must be in force:
// when the platform has been up for 4 s since.
func (p *platform) inForce(t time.Time) time.Time {
	for again := true; again; {
		again = false
		for _, o := range p.outages {
			if o.from.Before(t.Add(forceLimit)) && (o.to.IsZero() || o.to.After(t)) {
				if o.to.IsZero() {
					return t.Add(time.Hour)
				}
				t, again = o.to, true
			}
		}
	}
	return t.Add(forceLimit)
}

// reader is a process's connection to the platform.
type reader struct {
	f *platform
	p *process
}

var errDown = errors.New("platform is down")

func (r reader) Tickets(ctx context.Context, after uint64, wait time.Duration) (page plat.Page, err error) {
	r.p.wait()
	defer r.p.wait()
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		page, changed, ok := r.look(after)
		if len(page.Tickets) > 0 && after >= uint64(baseTickets) {
			r.f.w.observe("apply ticket", where{router: r.p.name})
		}
		switch {
		case !ok || r.p.isDead():
			return page, errDown
		case len(page.Tickets) > 0 || page.Index < after:
			return page, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		case <-r.p.dead:
			return page, errDown
		}
	}
}

func (r reader) look(after uint64) (page plat.Page, changed chan struct{}, ok bool) {
	f := r.f
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	n := len(f.tickets)
	if f.stale >= 0 {
		n = f.stale
	}
	page.Index = uint64(n)
	if f.stale >= 0 && after > page.Index {
		after = 0 // old tickets once more
	}
	for i := int(after); i < n; i++ {
		page.Tickets = append(page.Tickets, plat.RawTicket{Index: uint64(i + 1), Ticket: f.tickets[i].raw})
	}
	return page, f.changed, !f.down
}

func (r reader) Hosts(context.Context) ([]plat.Host, int, error) {
	r.p.wait()
	defer r.p.wait()
	f := r.f
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	switch {
	case f.down || r.p.isDead():
		return nil, 0, errDown
	case f.frozen != nil:
		return f.frozen, 0, nil
	}
	return f.hosts(), 0, nil
}

// hosts is the host list now. A wrong one lacks one agent, marks another as
// leaving although it lives, lists a router that does not exist and gives the
// data centres in the wrong order. The caller holds w.mu.
func (f *platform) hosts() (out []plat.Host) {
	for _, h := range f.w.hosts {
		p := h.current
		if p == nil || !p.killAt.IsZero() || !p.goneAt.IsZero() {
			continue
		}
		x := plat.Host{Name: h.name, Role: h.role, Address: h.addr, Region: region, Centre: h.centre, State: plat.HostLive}
		if !p.stopAt.IsZero() {
			x.State = plat.HostLeaving
		}
		out = append(out, x)
	}
	if !f.wrong {
		return out
	}
	wrong := []plat.Host{{Name: "r0", Role: wire.RoleRouter, Address: "nowhere:1", Region: region, Centre: "a", State: plat.HostLive}}
	for i, h := range out {
		switch h.Name {
		case "g1":
			continue
		case "p1":
			h.State = plat.HostLeaving
		}
		h.Centre = out[len(out)-1-i].Centre
		wrong = append(wrong, h)
	}
	return wrong
}
