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
	upstream    *wire.Object
	centre      *wire.Object
	models      map[string]*wire.Object
	leaving     bool      // a planned stop has begun
	confirmedAt time.Time // when a router last confirmed the slice
	nextOrderAt time.Time // earliest time of the next order
	lastOrder   Order     // last order that the engine took
}

func (s *state) centreOut() bool {
	return s.centre != nil && s.centre.Centre != nil && s.centre.Centre.State == wire.CentreStateOut
}

// draining reports whether operators drain the upstream or removed it.
func (s *state) draining() bool {
	if s.upstream == nil {
		return false
	}
	return s.upstream.Deleted || s.upstream.Upstream.State == wire.UpstreamStateDrain
}

func (s *state) latestTicket() (n wire.TicketNumber) {
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

// stateUpdate is a request to the control goroutine to take in objects from a router
// or to apply a change.
type stateUpdate struct {
	objects []wire.Object
	change  func(*state)
	done    chan struct{}
}

// runControl owns the state: it alone replaces the published value.
func (a *Agent) runControl(ctx context.Context) {
	report := a.ticker.Subscribe(reportInterval, "report")
	defer report.Close()
	for {
		select {
		case m := <-a.updates:
			a.apply(m)
			close(m.done)
		case <-report.C:
			a.broadcastReport()
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) submit(m stateUpdate) {
	m.done = make(chan struct{})
	select {
	case a.updates <- m:
		<-m.done
	case <-a.workCtx.Done():
	}
}

// update applies a change in the control goroutine and waits for it.
func (a *Agent) update(change func(*state)) { a.submit(stateUpdate{change: change}) }

func (a *Agent) apply(m stateUpdate) {
	before := a.state.Load()
	next := *before
	if m.change != nil {
		m.change(&next)
	}
	for i := range m.objects {
		a.mergeObject(&next, &m.objects[i])
	}
	a.state.Store(&next)
	a.applyAdmission(before, &next)
}

// mergeObject replaces an object of the slice unless its ticket number is older. Models
// are kept by name, since routers with different tickets may send different ones.
func (a *Agent) mergeObject(s *state, o *wire.Object) {
	var old *wire.Object
	switch {
	case o.Kind == wire.ObjectKindUpstream && o.Name == string(a.cfg.Upstream) && (o.Deleted || o.Upstream != nil):
		old = s.upstream
	case o.Kind == wire.ObjectKindCentre && o.Name == string(a.cfg.Centre) && (o.Deleted || o.Centre != nil):
		old = s.centre
	case o.Kind == wire.ObjectKindModel && (o.Deleted || o.Model != nil) && (s.models[o.Name] != nil || len(s.models) < maxModels):
		old = s.models[o.Name]
	default:
		a.logDiscard("object")
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
	a.logEvent(log.InfoLevel, "object_in_force", "", "object in force", "kind", o.Kind, "name", o.Name, "ticket", o.Number)
}

// applyAdmission opens or shuts the gate after a change of state and tells routers.
func (a *Agent) applyAdmission(before, now *state) {
	if now.upstream != nil && now.upstream.Upstream != nil {
		u := now.upstream.Upstream
		a.admitter.setBounds(limit.Bounds{Warm: wire.Slots(u.Limit), Cold: wire.Slots(u.Cold)})
	}
	was, is := refusalReason(before), refusalReason(now)
	if was == is {
		return
	}
	if is == "" {
		// A returning upstream is filled by the cold start ramp.
		a.admitter.markCold()
	}
	a.admitter.setClosed(is)
	a.logEvent(log.InfoLevel, "admission_changed", is, "admission changed", "ticket", now.latestTicket())
	a.broadcastReport()
}

func refusalReason(s *state) wire.Reason {
	switch {
	case s.leaving || s.draining():
		return wire.ReasonLeaving
	case s.centreOut():
		return wire.ReasonOut
	default:
		return ""
	}
}

// report describes the upstream to routers.
func (a *Agent) report() *wire.Report {
	s := a.state.Load()
	w, most, flight, queued := a.admitter.snapshot()
	r := &wire.Report{
		Upstream: a.cfg.Upstream, Incarnation: a.incarnation, Warmth: w, Limit: most, Flight: min(flight, wire.MaxSlots), Queued: queued,
		Leaving: s.leaving || s.draining(), Out: s.centreOut(), Ticket: s.latestTicket(), Prefixes: a.upstream.Prefixes(),
	}
	if b := a.bootID.Load(); b != nil {
		r.Boot = *b
	}
	if l := a.loadedModel.Load(); l != nil {
		r.Model, r.Version, r.Adapters = l.Model, l.Version, l.Adapters
	}
	return r
}

// hasModel reports whether the engine has what a call needs, as far as is known.
func (a *Agent) hasModel(c *wire.Call) bool {
	l := a.loadedModel.Load()
	if c.Kind != wire.KindGenerate || l == nil {
		return true
	}
	return wire.CanRun(l.Model, l.Adapters, c.Model, c.Adapter)
}

const (
	// maxConfirmAge is the age of a router's confirmation beyond which no order
	// goes to an engine that ignores fencing.
	maxConfirmAge   = 2 * time.Second
	orderRetryDelay = time.Second
	orderTimeout    = 30 * time.Second
	// ticketPropagationLimit is the time within which a ticket is in force everywhere.
	ticketPropagationLimit = 4 * time.Second
)

// reconcile orders the model in force when the engine has another one loaded. One
// order runs at a time; the next report reads its effect back.
func (a *Agent) reconcile(have Loaded) {
	s := a.state.Load()
	want, ok := s.desiredOrder()
	if !ok || time.Now().Before(s.nextOrderAt) || satisfies(want.Loaded, have) {
		return
	}
	if !s.upstream.Upstream.Fencing && time.Since(s.confirmedAt) > maxConfirmAge {
		a.requestConfig()
		return
	}
	if !a.ordering.CompareAndSwap(false, true) {
		return
	}
	a.orderWG.Go(func() {
		defer a.ordering.Store(false)
		a.sendOrder(want)
	})
}

// sendOrder sends one order and sets the time before which no other follows.
func (a *Agent) sendOrder(want Order) {
	ctx, cancel := context.WithTimeout(a.workCtx, orderTimeout)
	defer cancel()
	err := a.upstream.Order(ctx, want)
	wait := orderRetryDelay + rand.N(orderRetryDelay)
	var after interface{ RetryAfter() time.Duration }
	switch {
	case err == nil:
		a.log.Info("order given", "model", want.Model, "version", want.Version, "ticket", want.Fence)
		a.Inc("ordered", "")
	case errors.As(err, &after):
		// The weight store's limit is shared by the fleet; the jitter spreads a
		// fleet that starts at once.
		wait = after.RetryAfter() + rand.N(after.RetryAfter()+orderRetryDelay)
		fallthrough
	default:
		a.log.Warn("order refused", "model", want.Model, "version", want.Version, "ticket", want.Fence, "wait", wait, "err", err)
		a.Inc("order_failed", "")
	}
	a.update(func(s *state) {
		s.nextOrderAt = time.Now().Add(wait)
		if err == nil {
			s.lastOrder = want
		}
	})
}

// desiredOrder returns the order that the objects in force call for.
func (s *state) desiredOrder() (o Order, ok bool) {
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

func satisfies(a, b Loaded) bool {
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
