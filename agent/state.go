package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/wire"
)

// maxObjects bounds the slice of the configuration that an agent keeps.
const maxObjects = 16

// state is the agent's control state; published values are never changed.
type state struct {
	upstream  *wire.Object
	centre    *wire.Object
	model     *wire.Object
	leaving   bool      // a planned stop has begun
	confirmed time.Time // when a router last confirmed the slice
	orderAt   time.Time // earliest time of the next order
	ordered   Order     // last order that the engine took
}

func (s *state) out() bool {
	return s.centre != nil && s.centre.Centre != nil && s.centre.Centre.State == wire.CentreStateOut
}

// draining reports whether operators drain the upstream or removed it.
func (s *state) draining() bool {
	if s.upstream == nil {
		return false
	}
	return s.upstream.Deleted || s.upstream.Upstream.State == wire.UpstreamStateDrain
}

func (s *state) ticket() (n wire.TicketNumber) {
	for _, o := range []*wire.Object{s.upstream, s.centre, s.model} {
		if o != nil {
			n = max(n, o.Number)
		}
	}
	return n
}

// merge is a request to the control goroutine to take in objects from a router
// or to apply a change.
type merge struct {
	objects []wire.Object
	change  func(*state)
	done    chan struct{}
}

// control owns the state: it alone replaces the published value.
func (a *Agent) control(ctx context.Context) {
	report := a.tick.Subscribe(reportPeriod, "report")
	defer report.Close()
	for {
		select {
		case m := <-a.merges:
			a.apply(m)
			close(m.done)
		case <-report.C:
			a.broadcast()
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) submit(m merge) {
	m.done = make(chan struct{})
	select {
	case a.merges <- m:
		<-m.done
	case <-a.work.Done():
	}
}

// update applies a change in the control goroutine and waits for it.
func (a *Agent) update(change func(*state)) { a.submit(merge{change: change}) }

func (a *Agent) apply(m merge) {
	before := a.state.Load()
	next := *before
	if m.change != nil {
		m.change(&next)
	}
	for i := range m.objects {
		a.take(&next, &m.objects[i])
	}
	a.state.Store(&next)
	a.react(before, &next)
}

// take replaces an object of the slice unless its ticket number is older.
func (a *Agent) take(s *state, o *wire.Object) {
	var slot **wire.Object
	switch {
	case o.Kind == wire.ObjectKindUpstream && o.Name == string(a.cfg.Upstream) && (o.Deleted || o.Upstream != nil):
		slot = &s.upstream
	case o.Kind == wire.ObjectKindCentre && o.Name == string(a.cfg.Centre) && (o.Deleted || o.Centre != nil):
		slot = &s.centre
	case o.Kind == wire.ObjectKindModel && (o.Deleted || o.Model != nil):
		slot = &s.model
	default:
		a.discard("object")
		return
	}
	if *slot != nil && (*slot).Number >= o.Number && (*slot).Name == o.Name {
		return
	}
	*slot = o
	a.note(log.InfoLevel, "object_in_force", "", "object in force", "kind", o.Kind, "name", o.Name, "ticket", o.Number)
}

// react opens or shuts the gate after a change of state and tells routers.
func (a *Agent) react(before, now *state) {
	if now.upstream != nil && now.upstream.Upstream != nil {
		u := now.upstream.Upstream
		a.gate.setBounds(limit.Bounds{Warm: wire.Slots(u.Limit), Cold: wire.Slots(u.Cold)})
	}
	was, is := shutReason(before), shutReason(now)
	if was == is {
		return
	}
	if is == "" {
		// A returning upstream is filled by the cold start ramp.
		a.gate.chill()
	}
	a.gate.shut(is)
	a.note(log.InfoLevel, "admission_changed", is, "admission changed", "ticket", now.ticket())
	a.broadcast()
}

func shutReason(s *state) wire.Reason {
	switch {
	case s.leaving || s.draining():
		return wire.ReasonLeaving
	case s.out():
		return wire.ReasonOut
	default:
		return ""
	}
}

// report describes the upstream to routers.
func (a *Agent) report() *wire.Report {
	s := a.state.Load()
	w, most, flight, queued := a.gate.view()
	r := &wire.Report{
		Upstream: a.cfg.Upstream, Incarnation: a.inc, Warmth: w, Limit: most, Flight: flight, Queued: queued,
		Leaving: s.leaving || s.draining(), Out: s.out(), Ticket: s.ticket(), Prefixes: a.up.Prefixes(),
	}
	if b := a.boot.Load(); b != nil {
		r.Boot = *b
	}
	return r
}

const (
	// confirmLimit is the age of a router's confirmation beyond which no order
	// goes to an engine that ignores fencing.
	confirmLimit = 2 * time.Second
	orderRetry   = time.Second
	orderLimit   = 30 * time.Second
)

// reconcile orders the model in force when the engine has another one loaded.
func (a *Agent) reconcile(ctx context.Context, have Loaded) {
	s := a.state.Load()
	want, ok := s.wanted()
	now := time.Now()
	if !ok || now.Before(s.orderAt) || sameLoad(want.Loaded, have) {
		return
	}
	if !s.upstream.Upstream.Fencing && now.Sub(s.confirmed) > confirmLimit {
		a.confirm(ctx)
		return
	}
	err := a.up.Order(ctx, want)
	wait := orderRetry + rand.N(orderRetry)
	if err != nil {
		a.log.Warn("order refused", "model", want.Model, "version", want.Version, "ticket", want.Fence, "err", err)
		a.Inc("order_failed", "")
		if r, ok := err.(interface{ RetryAfter() time.Duration }); ok {
			wait = r.RetryAfter() + rand.N(orderRetry)
		}
	} else {
		a.log.Info("order given", "model", want.Model, "version", want.Version, "ticket", want.Fence)
		a.Inc("ordered", "")
	}
	a.update(func(s *state) {
		s.orderAt = now.Add(wait)
		if err == nil {
			s.ordered = want
		}
	})
}

// wanted returns the order that the objects in force call for.
func (s *state) wanted() (o Order, ok bool) {
	if s.upstream == nil || s.upstream.Upstream == nil || s.upstream.Upstream.Kind != wire.KindGenerate {
		return o, false
	}
	if s.model == nil || s.model.Model == nil || s.model.Name != string(s.upstream.Upstream.Model) {
		return o, false
	}
	m := s.model.Model
	o.Loaded = Loaded{wire.ModelID(s.model.Name), m.Version, m.Adapters}
	o.Fence = max(s.model.Number, s.upstream.Number)
	return o, true
}

func sameLoad(a, b Loaded) bool {
	if a.Model != b.Model || a.Version != b.Version {
		return false
	}
	loaded := map[wire.AdapterID]bool{}
	for _, x := range b.Adapters {
		loaded[x] = true
	}
	for _, x := range a.Adapters {
		if !loaded[x] {
			return false
		}
	}
	return true
}
