package agent

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/wire"
)

const (
	// maxObjects bounds the objects that a router may send at once.
	maxObjects = 16
	// maxModels bounds the models that an agent keeps.
	maxModels = 16
)

// state is the agent's control state; published values are never changed.
type state struct {
	upstream  *wire.Object
	centre    *wire.Object
	models    map[string]*wire.Object
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
	for _, o := range s.objects() {
		n = max(n, o.Number)
	}
	return n
}

// objects lists the slice of the configuration, models in name order.
func (s *state) objects() (out []*wire.Object) {
	for _, o := range []*wire.Object{s.upstream, s.centre} {
		if o != nil {
			out = append(out, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		out = append(out, s.models[name])
	}
	return out
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

// take replaces an object of the slice unless its ticket number is older. Models
// are kept by name, since routers with different tickets may send different ones.
func (a *Agent) take(s *state, o *wire.Object) {
	var old *wire.Object
	switch {
	case o.Kind == wire.ObjectKindUpstream && o.Name == string(a.cfg.Upstream) && (o.Deleted || o.Upstream != nil):
		old = s.upstream
	case o.Kind == wire.ObjectKindCentre && o.Name == string(a.cfg.Centre) && (o.Deleted || o.Centre != nil):
		old = s.centre
	case o.Kind == wire.ObjectKindModel && (o.Deleted || o.Model != nil) && (s.models[o.Name] != nil || len(s.models) < maxModels):
		old = s.models[o.Name]
	default:
		a.discard("object")
		return
	}
	if old != nil && old.Number >= o.Number {
		return
	}
	switch o.Kind {
	case wire.ObjectKindUpstream:
		s.upstream = o
	case wire.ObjectKindCentre:
		s.centre = o
	default:
		s.models = maps.Clone(s.models)
		if s.models == nil {
			s.models = map[string]*wire.Object{}
		}
		s.models[o.Name] = o
	}
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
		Upstream: a.cfg.Upstream, Incarnation: a.inc, Warmth: w, Limit: most, Flight: min(flight, wire.MaxSlots), Queued: queued,
		Leaving: s.leaving || s.draining(), Out: s.out(), Ticket: s.ticket(), Prefixes: a.up.Prefixes(),
	}
	if b := a.boot.Load(); b != nil {
		r.Boot = *b
	}
	if l := a.have.Load(); l != nil {
		r.Model, r.Version, r.Adapters = l.Model, l.Version, l.Adapters
	}
	return r
}

// loaded reports whether the engine has what a call needs, as far as is known.
func (a *Agent) loaded(c *wire.Call) bool {
	l := a.have.Load()
	if c.Kind != wire.KindGenerate || l == nil {
		return true
	}
	return wire.CanRun(l.Model, l.Adapters, c.Model, c.Adapter)
}

const (
	// confirmLimit is the age of a router's confirmation beyond which no order
	// goes to an engine that ignores fencing.
	confirmLimit = 2 * time.Second
	orderRetry   = time.Second
	orderLimit   = 30 * time.Second
	// forceLimit is the time within which a ticket is in force everywhere.
	forceLimit = 4 * time.Second
)

// reconcile orders the model in force when the engine has another one loaded. One
// order runs at a time; the next report reads its effect back.
func (a *Agent) reconcile(have Loaded) {
	s := a.state.Load()
	want, ok := s.wanted()
	if !ok || time.Now().Before(s.orderAt) || sameLoad(want.Loaded, have) {
		return
	}
	if !s.upstream.Upstream.Fencing && time.Since(s.confirmed) > confirmLimit {
		a.confirm()
		return
	}
	if !a.order.CompareAndSwap(false, true) {
		return
	}
	a.orders.Go(func() {
		defer a.order.Store(false)
		a.give(want)
	})
}

// give sends one order and sets the time before which no other follows.
func (a *Agent) give(want Order) {
	ctx, cancel := context.WithTimeout(a.work, orderLimit)
	defer cancel()
	err := a.up.Order(ctx, want)
	wait := orderRetry + rand.N(orderRetry)
	var after interface{ RetryAfter() time.Duration }
	switch {
	case err == nil:
		a.log.Info("order given", "model", want.Model, "version", want.Version, "ticket", want.Fence)
		a.Inc("ordered", "")
	case errors.As(err, &after):
		// The weight store's limit is shared by the fleet; the jitter spreads a
		// fleet that starts at once.
		wait = after.RetryAfter() + rand.N(after.RetryAfter()+orderRetry)
		fallthrough
	default:
		a.log.Warn("order refused", "model", want.Model, "version", want.Version, "ticket", want.Fence, "wait", wait, "err", err)
		a.Inc("order_failed", "")
	}
	a.update(func(s *state) {
		s.orderAt = time.Now().Add(wait)
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
	obj := s.models[string(s.upstream.Upstream.Model)]
	if obj == nil || obj.Model == nil {
		return o, false
	}
	o.Loaded = Loaded{wire.ModelID(obj.Name), obj.Model.Version, obj.Model.Adapters}
	o.Fence = max(obj.Number, s.upstream.Number)
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
