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
	plainStageTime = 20 * time.Millisecond
	// onceStageTime is that of the non-repeatable stage, long enough that most faults
	// find one under way.
	onceStageTime = 100 * time.Millisecond
	tokenInterval = 20 * time.Millisecond
	tokenCount    = 6
	crashDowntime = 500 * time.Millisecond // of a crashed upstream
	coldDuration  = 1500 * time.Millisecond
	coldLimit     = 2
	warmLimit     = 4
	// loadReportLimit is the time in which a process that asks for load reports has one.
	loadReportLimit = time.Second
	// initialTickets is the number of tickets that a world starts with.
	initialTickets = 1
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

func digest(parts ...string) string {
	h := fnv.New64a()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// computeStage is the pure function that every fake upstream applies: a plain stage
// has an output, a generating one tokens.
func computeStage(stage wire.StageID, kind wire.Kind, body, prior []byte) (out []byte, tokens []string) {
	s := digest(string(stage), compact(body), compact(prior))
	if kind != wire.KindGenerate {
		return []byte(`{"sum":"` + s + `"}`), nil
	}
	for i := range tokenCount {
		tokens = append(tokens, fmt.Sprintf("%s.%d ", s, i))
	}
	return nil, tokens
}

// expectedAnswer is the whole answer to a body, and the text of its last stage.
func expectedAnswer(stages []wire.Stage, body []byte) (out []byte, text string) {
	out = []byte("null")
	for _, st := range stages {
		var tokens []string
		text = ""
		if out, tokens = computeStage(st.Name, st.Kind, body, out); tokens != nil {
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
	outcomeDone      = "done"
	outcomeFailed    = "failed"
	outcomeCancelled = "cancelled"
	outcomeCrashed   = "crashed"
	outcomeSilent    = "silent" // the connection was silent at the end
)

// callRecord is one call as the fake upstream saw it.
type callRecord struct {
	upstream *upstream
	proc     *process // that gave it
	ref      wire.Ref
	token    wire.Token
	key      string
	router   wire.HostID
	begun    time.Time
	ended    time.Time
	outcome  string
	inFlight int  // calls that the upstream held, this one included
	knewCold bool // the giver had been told that this run of the upstream is cold
}

// orderRecord is one order as the fake upstream saw it.
type orderRecord struct {
	at    time.Time
	proc  *process
	order agent.Order
	taken bool
}

// activeCall is one call under way at an upstream.
type activeCall struct {
	rec    *callRecord
	out    chan event
	stop   chan struct{} // closed by a crash or a cancel
	silent bool          // its connection is silent
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

	bootCount     int
	coldFrom      time.Time
	coldUntil     time.Time
	reportsSince  time.Time // since when load reports can be had again
	downUntil     time.Time
	slow          bool
	failing       bool
	silent        bool
	active        map[*activeCall]struct{}
	loaded        agent.Loaded
	fence         wire.TicketNumber
	coldKnownAt   map[*process]time.Time // when a process learnt that this run is cold
	orders        []orderRecord
	poisonCrashes int // crashes under a poisoned request
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

func (u *upstream) down(now time.Time) bool { return now.Before(u.downUntil) }

// crash ends the run of the upstream with all calls in flight. The caller holds
// w.mu.
func (u *upstream) crash(down time.Duration) {
	now := time.Now()
	u.bootCount++
	u.downUntil = now.Add(down)
	u.coldFrom = u.downUntil
	u.coldUntil = now.Add(down + coldDuration)
	u.coldKnownAt = map[*process]time.Time{}
	for ac := range u.active {
		u.finish(ac, outcomeCrashed, event{err: &agent.UpstreamError{Sent: true, Reset: true, Err: errors.New("connection reset")}})
	}
}

// finish ends a call once. The caller holds w.mu.
func (u *upstream) finish(ac *activeCall, outcome string, e event) {
	if _, ok := u.active[ac]; !ok {
		return
	}
	delete(u.active, ac)
	ac.rec.outcome, ac.rec.ended = outcome, time.Now()
	close(ac.stop)
	if ac.silent {
		ac.rec.outcome = outcomeSilent
		return
	}
	e.end = true
	ac.out <- e
}

var errRefused = &agent.UpstreamError{Err: errors.New("connection refused")}

// begin starts a call.
func (u *upstream) begin(p *process, c *wire.Call) (*activeCall, error) {
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
		upstream: u, proc: p, ref: c.Ref, token: c.Token, key: body.Key, begun: now,
		knewCold: u.cold(now) && u.knowsCold(p, now), router: w.routerByRequest[c.Ref.Request],
	}
	ac := &activeCall{rec: rec, out: make(chan event, tokenCount+2), stop: make(chan struct{}), silent: u.silent}
	u.active[ac] = struct{}{}
	rec.inFlight = len(u.active)
	w.calls = append(w.calls, rec)
	w.wg.Go(func() { u.run(ac, c, &in, body.Poison) })
	return ac, nil
}

// knowsCold reports whether p could know before now that this run of the upstream is
// cold: a load report or a reset told it so, or it could have asked for a second.
// The caller holds w.mu.
func (u *upstream) knowsCold(p *process, now time.Time) bool {
	if told, ok := u.coldKnownAt[p]; ok && told.Before(now) {
		return true
	}
	since := u.reportsSince
	for _, t := range []time.Time{u.coldFrom, p.startedAt, p.resumedAt()} {
		if t.After(since) {
			since = t
		}
	}
	return !u.silent && now.Sub(since) > loadReportLimit
}

// run works on a call.
func (u *upstream) run(ac *activeCall, c *wire.Call, in *stageBody, poison bool) {
	if poison && !u.sleep(ac, 10*time.Millisecond) {
		return
	}
	out, tokens := computeStage(c.Ref.Stage, c.Kind, in.Body, in.Prior)
	stageTime := plainStageTime
	if c.Once {
		stageTime = onceStageTime
	}
	if tokens == nil && (!u.sleep(ac, stageTime/2) || !u.recordEffect(ac) || !u.sleep(ac, stageTime/2)) {
		return
	}
	for i, t := range tokens {
		if !u.sleep(ac, tokenInterval) {
			return
		}
		u.w.mu.Lock()
		fail := u.failing && i == tokenCount/2
		if !fail && !ac.silent {
			ac.out <- event{token: t}
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
		u.poisonCrashes++
		u.crash(crashDowntime)
	case u.failing:
		u.finish(ac, outcomeFailed, event{err: &agent.UpstreamError{Sent: true, Status: 500, Err: errors.New("internal error")}})
	default:
		u.finish(ac, outcomeDone, event{out: out})
	}
}

// recordEffect counts the effect of a call with a token.
func (u *upstream) recordEffect(ac *activeCall) bool {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	if _, ok := u.active[ac]; ok && ac.rec.token != "" {
		u.w.effects[ac.rec.token]++
	}
	return true
}

// sleep reports whether the call goes on after d, or 20 times d while slow.
func (u *upstream) sleep(ac *activeCall, d time.Duration) bool {
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
	case <-ac.stop:
		return false
	}
}

// cancel ends a call whose connection the giver closed.
func (u *upstream) cancel(ac *activeCall) {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	u.finish(ac, outcomeCancelled, event{err: context.Canceled})
}

// silenceCalls silences the connections of the calls under way. The caller holds w.mu.
func (u *upstream) silenceCalls() {
	for ac := range u.active {
		ac.silent = true
	}
}

// upstreamClient is a process's connection to an upstream; it implements agent.Upstream.
type upstreamClient struct {
	upstream *upstream
	process  *process
}

func (c upstreamClient) Run(ctx context.Context, call *wire.Call, emit func([]byte) error) (a agent.Answer, err error) {
	c.process.wait()
	if c.process.isDead() {
		return a, context.Canceled
	}
	if err = agent.CheckSend(ctx); err != nil {
		return a, err
	}
	c.upstream.w.observe("execute", faultTarget{agent: c.process.name, upstream: c.upstream, router: c.upstream.w.routerFor(call.Ref.Request)})
	ac, err := c.upstream.begin(c.process, call)
	if err != nil {
		return a, err
	}
	a.Cost.Calls = 1
	for {
		select {
		case e := <-ac.out:
			c.process.wait()
			switch {
			case c.process.isDead():
				return a, context.Canceled
			case e.end:
				c.recordReset(e.err)
				a.Output = e.out
				return a, e.err
			}
			if err = emit([]byte(e.token)); err != nil {
				c.upstream.cancel(ac)
				return a, &agent.UpstreamError{Sent: true, Err: err}
			}
		case <-ctx.Done():
			c.process.wait()
			if !c.process.isDead() {
				c.upstream.cancel(ac)
				c.upstream.w.observe("cancel", faultTarget{agent: c.process.name, upstream: c.upstream, router: ac.rec.router})
			}
			return a, ctx.Err()
		case <-c.process.dead:
			// The upstream does not see the end of the connection.
			return a, context.Canceled
		}
	}
}

// recordReset records that a reset told the process of a crash.
func (c upstreamClient) recordReset(err error) {
	var ue *agent.UpstreamError
	if !errors.As(err, &ue) || !ue.Reset {
		return
	}
	c.upstream.w.mu.Lock()
	defer c.upstream.w.mu.Unlock()
	if _, ok := c.upstream.coldKnownAt[c.process]; !ok {
		c.upstream.coldKnownAt[c.process] = time.Now()
	}
}

func (c upstreamClient) Load(ctx context.Context) (ev limit.LoadReport, l agent.Loaded, err error) {
	c.process.wait()
	if c.process.isDead() {
		return ev, l, context.Canceled
	}
	w := c.upstream.w
	w.mu.Lock()
	silent, down := c.upstream.silent, c.upstream.down(time.Now())
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
	ev = limit.LoadReport{Boot: wire.BootID(fmt.Sprintf("%s-%d", c.upstream.id, c.upstream.bootCount)), Cold: c.upstream.cold(now), InFlight: wire.Slots(len(c.upstream.active))}
	if _, ok := c.upstream.coldKnownAt[c.process]; ev.Cold && !ok {
		c.upstream.coldKnownAt[c.process] = now
	}
	return ev, c.upstream.loaded, nil
}

func (c upstreamClient) Order(_ context.Context, o agent.Order) error {
	c.process.wait()
	if c.process.isDead() {
		return context.Canceled
	}
	c.upstream.w.observe("give order", faultTarget{agent: c.process.name, upstream: c.upstream})
	time.Sleep(20 * time.Millisecond)
	c.process.wait()
	w := c.upstream.w
	w.mu.Lock()
	defer w.mu.Unlock()
	rec := orderRecord{at: time.Now(), proc: c.process, order: o}
	defer func() { c.upstream.orders = append(c.upstream.orders, rec) }()
	switch {
	case c.upstream.down(rec.at):
		return errRefused
	case c.upstream.fencing && o.Fence < c.upstream.fence:
		return &agent.UpstreamError{Sent: true, Status: 409, Err: errors.New("stale fence")}
	}
	rec.taken = true
	c.upstream.fence = max(c.upstream.fence, o.Fence)
	c.upstream.loaded = o.Loaded
	return nil
}

func (c upstreamClient) Prefixes() []wire.Fingerprint { return nil }

// publishedTicket is a ticket with the time of its publication.
type publishedTicket struct {
	at     time.Time
	ticket wire.Ticket
	raw    json.RawMessage
}

// platform is the fake platform. Its fields are guarded by w.mu.
type platform struct {
	w            *world
	tickets      []publishedTicket
	outages      []span // in which tickets can't be read or are stale; an open one has no end
	down         bool
	staleTickets int // tickets that a stale platform shows; -1 while it is not stale
	changed      chan struct{}
	frozenHosts  []plat.Host // lagging host list
	wrongHosts   bool
}

// span is a period of time; a zero end means that it lasts.
type span struct{ from, to time.Time }

func (p *platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// fail makes the platform down, or stale as of now. The caller holds w.mu.
func (p *platform) fail(stale bool) {
	p.outages = append(p.outages, span{from: time.Now()})
	p.down = !stale
	if stale {
		p.staleTickets = initialTickets
	}
	p.notify()
}

func (p *platform) recover() {
	if n := len(p.outages); n > 0 && p.outages[n-1].to.IsZero() {
		p.outages[n-1].to = time.Now()
	}
	p.down, p.staleTickets = false, -1
	p.notify()
}

// inForceBy returns the time by which a ticket published at t must be in force:
// when the platform has been up for 4 s since.
func (p *platform) inForceBy(t time.Time) time.Time {
	for extended := true; extended; {
		extended = false
		for _, o := range p.outages {
			if o.from.Before(t.Add(inForceLimit)) && (o.to.IsZero() || o.to.After(t)) {
				if o.to.IsZero() {
					return t.Add(time.Hour)
				}
				t, extended = o.to, true
			}
		}
	}
	return t.Add(inForceLimit)
}

// platformReader is a process's connection to the platform.
type platformReader struct {
	platform *platform
	process  *process
}

var errPlatformDown = errors.New("platform is down")

func (r platformReader) Tickets(ctx context.Context, after uint64, wait time.Duration) (page plat.Page, err error) {
	r.process.wait()
	defer r.process.wait()
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		page, changed, ok := r.read(after)
		if len(page.Tickets) > 0 && after >= uint64(initialTickets) {
			r.platform.w.observe("apply ticket", faultTarget{router: r.process.name})
		}
		switch {
		case !ok || r.process.isDead():
			return page, errPlatformDown
		case len(page.Tickets) > 0 || page.Index < after:
			return page, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		case <-r.process.dead:
			return page, errPlatformDown
		}
	}
}

func (r platformReader) read(after uint64) (page plat.Page, changed chan struct{}, ok bool) {
	f := r.platform
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	n := len(f.tickets)
	if f.staleTickets >= 0 {
		n = f.staleTickets
	}
	page.Index = uint64(n)
	if f.staleTickets >= 0 && after > page.Index {
		after = 0 // old tickets once more
	}
	for i := int(after); i < n; i++ {
		page.Tickets = append(page.Tickets, plat.RawTicket{Index: uint64(i + 1), Ticket: f.tickets[i].raw})
	}
	return page, f.changed, !f.down
}

func (r platformReader) Hosts(context.Context) ([]plat.Host, int, error) {
	r.process.wait()
	defer r.process.wait()
	f := r.platform
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	switch {
	case f.down || r.process.isDead():
		return nil, 0, errPlatformDown
	case f.frozenHosts != nil:
		return f.frozenHosts, 0, nil
	}
	return f.hosts(), 0, nil
}

// hosts is the host list now. A wrong one lacks one agent, marks another as
// leaving although it lives, lists a router that does not exist and gives the
// data centres in the wrong order. The caller holds w.mu.
func (f *platform) hosts() (out []plat.Host) {
	for _, h := range f.w.hosts {
		p := h.current
		if p == nil || !p.killedAt.IsZero() || !p.exitedAt.IsZero() {
			continue
		}
		x := plat.Host{Name: h.name, Role: h.role, Address: h.addr, Region: region, Centre: h.centre, State: plat.HostLive}
		if !p.stopRequestedAt.IsZero() {
			x.State = plat.HostLeaving
		}
		out = append(out, x)
	}
	if !f.wrongHosts {
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
