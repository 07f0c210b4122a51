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
	// onceStageTime is the duration of the stage that is not repeatable. It is
	// long enough that most faults hit one in flight.
	onceStageTime = 100 * time.Millisecond
	tokenInterval = 20 * time.Millisecond
	tokenCount    = 6
	crashDowntime = 500 * time.Millisecond // time that a crashed upstream stays down
	coldDuration  = 1500 * time.Millisecond
	coldLimit     = 2
	warmLimit     = 4
	// loadReportLimit is the time within which a process that asks for load
	// reports must have one.
	loadReportLimit = time.Second
	// initialTickets is the number of tickets on the platform when a world starts.
	initialTickets = 1
)

// stageBody is the input of a stage. The output depends on its compact form.
type stageBody struct {
	Body  json.RawMessage `json:"body"`
	Prior json.RawMessage `json:"prior"`
}

// callerBody is the body of every request. Key identifies the request, and
// Poison makes it crash every upstream that runs it.
type callerBody struct {
	Key    string `json:"key"`
	Poison bool   `json:"poison,omitempty"`
}

// compact returns JSON without insignificant space, or "invalid".
func compact(b []byte) string {
	var out bytes.Buffer
	if json.Compact(&out, b) != nil {
		return "invalid"
	}
	return out.String()
}

// digest returns a hash of parts and their boundaries in hexadecimal.
func digest(parts ...string) string {
	h := fnv.New64a()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// computeStage returns what a stage produces from its input: an output for a
// plain stage, tokens for a generating one. Equal arguments give equal results
// on every upstream.
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

// expectedAnswer returns the correct answer to a request body, and the text
// that its last stage streams.
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

// Outcomes of a call at a fake upstream.
const (
	outcomeDone      = "done"
	outcomeFailed    = "failed"
	outcomeCancelled = "cancelled"
	outcomeCrashed   = "crashed"
	outcomeSilent    = "silent" // the connection was silent, so the end was not delivered
)

// callRecord is the fake upstream's record of one call.
type callRecord struct {
	upstream  *upstream
	proc      *process // agent or naive router that sent the call
	ref       wire.Ref
	token     wire.Token
	key       string
	router    wire.HostID
	startedAt time.Time
	endedAt   time.Time
	outcome   string
	inFlight  int  // calls in flight at the upstream, including this one
	knewCold  bool // proc could know that the upstream was cold, see knowsCold
}

// orderRecord is the fake upstream's record of one order.
type orderRecord struct {
	at       time.Time
	proc     *process
	order    agent.Order
	accepted bool // the engine accepted the order
}

// activeCall is a call in flight at an upstream.
type activeCall struct {
	rec    *callRecord
	events chan event
	done   chan struct{} // closed when the call ends
	silent bool          // nothing more is delivered on its connection
}

// event is a piece of the text that a call streams, or the end of the call with
// an output or an error.
type event struct {
	text   string
	output []byte
	err    error
	end    bool
}

// upstream is a fake upstream, shared by all processes that call it. Its
// mutable fields are guarded by w.mu.
type upstream struct {
	w       *world
	id      wire.UpstreamID
	kind    wire.Kind
	centre  wire.DataCentreID
	fencing bool

	bootCount     int       // number of restarts; part of the boot ID
	coldFrom      time.Time // start of the latest cold period
	coldUntil     time.Time
	reportsSince  time.Time // time from which load reports have been available
	downUntil     time.Time // end of the latest downtime
	slow          bool
	failing       bool
	silent        bool // new calls and load reports get no answer
	active        map[*activeCall]struct{}
	loaded        agent.Loaded
	fence         wire.TicketNumber      // highest fence of the accepted orders
	coldKnownAt   map[*process]time.Time // when a process learnt that the upstream is cold
	orders        []orderRecord
	poisonCrashes int // crashes caused by poisoned requests
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

func (u *upstream) down(now time.Time) bool { return now.Before(u.downUntil) }

// crash resets all calls in flight and restarts the upstream, which stays down
// for the given time and is then cold for coldDuration. The caller holds w.mu.
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

// finish ends a call and delivers e, unless the call has ended already. The
// caller holds w.mu.
func (u *upstream) finish(ac *activeCall, outcome string, e event) {
	if _, ok := u.active[ac]; !ok {
		return
	}
	delete(u.active, ac)
	ac.rec.outcome, ac.rec.endedAt = outcome, time.Now()
	close(ac.done)
	if ac.silent {
		ac.rec.outcome = outcomeSilent
		return
	}
	e.end = true
	ac.events <- e
}

var errRefused = &agent.UpstreamError{Err: errors.New("connection refused")}

// begin starts and records a call that p sends.
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
		upstream: u, proc: p, ref: c.Ref, token: c.Token, key: body.Key, startedAt: now,
		knewCold: u.cold(now) && u.knowsCold(p, now), router: w.routerByRequest[c.Ref.Request],
	}
	ac := &activeCall{rec: rec, events: make(chan event, tokenCount+2), done: make(chan struct{}), silent: u.silent}
	u.active[ac] = struct{}{}
	rec.inFlight = len(u.active)
	w.calls = append(w.calls, rec)
	w.wg.Go(func() { u.run(ac, c, &in, body.Poison) })
	return ac, nil
}

// knowsCold reports whether p could know before now that the upstream is cold:
// from a load report or a reset, or because it could have asked for a report
// for longer than loadReportLimit. The caller holds w.mu.
func (u *upstream) knowsCold(p *process, now time.Time) bool {
	if knownAt, ok := u.coldKnownAt[p]; ok && knownAt.Before(now) {
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

// run executes a call and delivers its tokens and its end.
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
			ac.events <- event{text: t}
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
		u.finish(ac, outcomeDone, event{output: out})
	}
}

// recordEffect counts one effect for the token of a call that is still in
// flight. It always returns true.
func (u *upstream) recordEffect(ac *activeCall) bool {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	if _, ok := u.active[ac]; ok && ac.rec.token != "" {
		u.w.effects[ac.rec.token]++
	}
	return true
}

// sleep waits for d, or 20 times as long while the upstream is slow. It reports
// whether the call is still in flight.
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
	case <-ac.done:
		return false
	}
}

// cancel ends a call whose connection the sender closed.
func (u *upstream) cancel(ac *activeCall) {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	u.finish(ac, outcomeCancelled, event{err: context.Canceled})
}

// silenceCalls silences the connections of all calls in flight. The caller
// holds w.mu.
func (u *upstream) silenceCalls() {
	for ac := range u.active {
		ac.silent = true
	}
}

// upstreamClient is the client of a process for an upstream. It implements
// agent.Upstream.
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
		case e := <-ac.events:
			c.process.wait()
			switch {
			case c.process.isDead():
				return a, context.Canceled
			case e.end:
				c.recordReset(e.err)
				a.Output = e.output
				return a, e.err
			}
			if err = emit([]byte(e.text)); err != nil {
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
			// The upstream does not notice that the process was killed.
			return a, context.Canceled
		}
	}
}

// recordReset records that the process learnt of a crash if err is a connection
// reset.
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

func (c upstreamClient) Load(ctx context.Context) (report limit.LoadReport, loaded agent.Loaded, err error) {
	c.process.wait()
	if c.process.isDead() {
		return report, loaded, context.Canceled
	}
	w := c.upstream.w
	w.mu.Lock()
	silent, down := c.upstream.silent, c.upstream.down(time.Now())
	w.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return report, loaded, ctx.Err()
	case down:
		return report, loaded, errRefused
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	report = limit.LoadReport{Boot: wire.BootID(fmt.Sprintf("%s-%d", c.upstream.id, c.upstream.bootCount)), Cold: c.upstream.cold(now), InFlight: wire.Slots(len(c.upstream.active))}
	if _, ok := c.upstream.coldKnownAt[c.process]; report.Cold && !ok {
		c.upstream.coldKnownAt[c.process] = now
	}
	return report, c.upstream.loaded, nil
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
	rec.accepted = true
	c.upstream.fence = max(c.upstream.fence, o.Fence)
	c.upstream.loaded = o.Loaded
	return nil
}

func (c upstreamClient) Prefixes() []wire.Fingerprint { return nil }

// publishedTicket is a ticket and the time of its publication.
type publishedTicket struct {
	publishedAt time.Time
	ticket      wire.Ticket
	raw         json.RawMessage
}

// platform is the fake platform. Its fields are guarded by w.mu.
type platform struct {
	w            *world
	tickets      []publishedTicket
	outages      []span // periods in which tickets are unavailable or stale
	down         bool
	staleTickets int // number of tickets served while stale; -1 if not stale
	changed      chan struct{}
	frozenHosts  []plat.Host // host list served while it lags; otherwise nil
	wrongHosts   bool        // whether a wrong host list is served
}

// span is a period of time. A zero end means that the period has not ended.
type span struct{ from, to time.Time }

// notify wakes the readers that wait for new tickets. The caller holds w.mu.
func (p *platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// fail makes the platform unavailable, or makes it serve only the initial
// tickets if stale is set. The caller holds w.mu.
func (p *platform) fail(stale bool) {
	p.outages = append(p.outages, span{from: time.Now()})
	p.down = !stale
	if stale {
		p.staleTickets = initialTickets
	}
	p.notify()
}

// recover ends the failure. The caller holds w.mu.
func (p *platform) recover() {
	if n := len(p.outages); n > 0 && p.outages[n-1].to.IsZero() {
		p.outages[n-1].to = time.Now()
	}
	p.down, p.staleTickets = false, -1
	p.notify()
}

// inForceBy returns the time by which a ticket published at t must be in force:
// the first end of a period of inForceLimit without an outage, or an hour after
// t during an outage that has not ended.
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

// platformReader is the client of a process for the platform. It implements the
// router's interface to it.
type platformReader struct {
	platform *platform
	process  *process
}

var errPlatformDown = errors.New("platform is down")

func (r platformReader) Tickets(ctx context.Context, after uint64, wait time.Duration) (page plat.Page, err error) {
	r.process.wait()
	defer r.process.wait()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
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
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		case <-r.process.dead:
			return page, errPlatformDown
		}
	}
}

// read returns the tickets after an index, a channel that is closed at the next
// change, and false if the platform is unavailable.
func (r platformReader) read(after uint64) (page plat.Page, changed chan struct{}, ok bool) {
	p := r.platform
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	n := len(p.tickets)
	if p.staleTickets >= 0 {
		n = p.staleTickets
	}
	page.Index = uint64(n)
	if p.staleTickets >= 0 && after > page.Index {
		after = 0 // serve the old tickets again
	}
	for i := int(after); i < n; i++ {
		page.Tickets = append(page.Tickets, plat.RawTicket{Index: uint64(i + 1), Ticket: p.tickets[i].raw})
	}
	return page, p.changed, !p.down
}

func (r platformReader) Hosts(context.Context) ([]plat.Host, int, error) {
	r.process.wait()
	defer r.process.wait()
	p := r.platform
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	switch {
	case p.down || r.process.isDead():
		return nil, 0, errPlatformDown
	case p.frozenHosts != nil:
		return p.frozenHosts, 0, nil
	}
	return p.hosts(), 0, nil
}

// hosts returns the current host list. A wrong one omits one agent, marks
// another as leaving although it is not, lists a router that does not exist and
// reverses the order of the data centres. The caller holds w.mu.
func (p *platform) hosts() (out []plat.Host) {
	for _, h := range p.w.hosts {
		proc := h.current
		if proc == nil || !proc.killedAt.IsZero() || !proc.exitedAt.IsZero() {
			continue
		}
		x := plat.Host{Name: h.name, Role: h.role, Address: h.addr, Region: region, Centre: h.centre, State: plat.HostLive}
		if !proc.stopRequestedAt.IsZero() {
			x.State = plat.HostLeaving
		}
		out = append(out, x)
	}
	if !p.wrongHosts {
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
