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
	// maxObjects limits the objects that a router may send at once.
	maxObjects = 16
	// maxModels limits the models that an agent keeps.
	maxModels = 16
)

// state holds the configuration objects that concern this agent, and the progress of
// drains and orders. A published value is never modified.
type state struct {
	upstream    *wire.Object            // nil until a router has sent it
	centre      *wire.Object            // nil until a router has sent it
	models      map[string]*wire.Object // by name
	leaving     bool                    // whether a planned stop has begun
	confirmedAt time.Time               // when a router last sent this agent's configuration; zero after a pause
	nextOrderAt time.Time               // earliest time of the next order
	lastOrder   Order                   // last order that the engine accepted
}

// centreOut reports whether operators took the agent's data centre out of service.
func (s *state) centreOut() bool {
	return s.centre != nil && s.centre.Centre != nil && s.centre.Centre.State == wire.CentreStateOut
}

// draining reports whether operators are draining the upstream or removed it.
func (s *state) draining() bool {
	if s.upstream == nil {
		return false
	}
	return s.upstream.Deleted || s.upstream.Upstream.State == wire.UpstreamStateDrain
}

// latestTicket returns the highest ticket number of the objects in force, or 0.
func (s *state) latestTicket() (n wire.TicketNumber) {
	for _, o := range s.objects() {
		n = max(n, o.Number)
	}
	return n
}

// objects returns this agent's part of the configuration: the upstream, the data
// centre, and the models in name order.
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

// stateUpdate asks the control goroutine to apply a change, then to merge objects
// from a router.
type stateUpdate struct {
	objects []wire.Object
	change  func(*state)  // may be nil
	done    chan struct{} // closed when the update was applied
}

// runControl applies state updates and sends periodic reports until ctx is done. No
// other goroutine replaces the published state.
func (a *Agent) runControl(ctx context.Context) {
	report := a.ticker.Subscribe(reportInterval, "report")
	defer report.Close()
	for {
		select {
		case u := <-a.updates:
			a.apply(u)
			close(u.done)
		case <-report.C:
			a.broadcastReport()
		case <-ctx.Done():
			return
		}
	}
}

// submit hands u to the control goroutine and waits until it was applied. It gives up
// if workCtx is done before the goroutine takes u.
func (a *Agent) submit(u stateUpdate) {
	u.done = make(chan struct{})
	select {
	case a.updates <- u:
		<-u.done
	case <-a.workCtx.Done():
	}
}

// update applies change in the control goroutine and waits for it, like submit.
func (a *Agent) update(change func(*state)) { a.submit(stateUpdate{change: change}) }

// apply publishes the state that results from u and adjusts admission to it.
func (a *Agent) apply(u stateUpdate) {
	before := a.state.Load()
	next := *before
	if u.change != nil {
		u.change(&next)
	}
	for i := range u.objects {
		a.mergeObject(&next, &u.objects[i])
	}
	a.state.Store(&next)
	a.applyAdmission(before, &next)
}

// mergeObject replaces the object of the same kind and name in s if the ticket number
// of o is higher. Objects that do not concern this agent and models beyond maxModels
// are discarded. Models are kept by name, since routers with different tickets may
// send different ones.
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

// applyAdmission sets the limiter's bounds after a change of state. If the reason to
// refuse calls has changed, it tells the admitter and the routers.
func (a *Agent) applyAdmission(before, after *state) {
	if after.upstream != nil && after.upstream.Upstream != nil {
		u := after.upstream.Upstream
		a.admitter.setBounds(limit.Bounds{Warm: wire.Slots(u.Limit), Cold: wire.Slots(u.Cold)})
	}
	previous, reason := refusalReason(before), refusalReason(after)
	if previous == reason {
		return
	}
	if reason == "" {
		// An upstream that returns is loaded gradually, as after a cold start.
		a.admitter.markCold()
	}
	a.admitter.setClosed(reason)
	a.logEvent(log.InfoLevel, "admission_changed", reason, "admission changed", "ticket", after.latestTicket())
	a.broadcastReport()
}

// refusalReason returns why calls are refused in state s, or "" if they are not.
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

// report returns the report that describes the upstream to routers.
func (a *Agent) report() *wire.Report {
	s := a.state.Load()
	w, capacity, inFlight, queued := a.admitter.snapshot()
	r := &wire.Report{
		Upstream: a.cfg.Upstream, Incarnation: a.incarnation, Warmth: w, Limit: capacity, Flight: min(inFlight, wire.MaxSlots), Queued: queued,
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

// hasModel reports whether the engine has loaded the model and adapter that c needs.
// It returns true for other kinds of call, and before the first load report.
func (a *Agent) hasModel(c *wire.Call) bool {
	l := a.loadedModel.Load()
	if c.Kind != wire.KindGenerate || l == nil {
		return true
	}
	return wire.CanRun(l.Model, l.Adapters, c.Model, c.Adapter)
}

const (
	// maxConfirmAge is the age of a router's confirmation beyond which no order is
	// sent to an engine without fencing, which would accept an outdated order.
	maxConfirmAge = 2 * time.Second
	// orderRetryDelay is the shortest delay between two orders, unless the engine
	// answers with a Retry-After time. Jitter adds up to as much again.
	orderRetryDelay = time.Second
	orderTimeout    = 30 * time.Second
	// ticketPropagationLimit is the time within which a ticket is in force on all
	// routers and agents.
	ticketPropagationLimit = 4 * time.Second
)

// reconcile orders the engine to load the configured model if it has something else
// loaded. Only one order runs at a time; a later load report shows its effect.
func (a *Agent) reconcile(loaded Loaded) {
	s := a.state.Load()
	order, ok := s.desiredOrder()
	if !ok || time.Now().Before(s.nextOrderAt) || satisfies(order.Loaded, loaded) {
		return
	}
	if !s.upstream.Upstream.Fencing && time.Since(s.confirmedAt) > maxConfirmAge {
		a.requestConfig()
		return
	}
	if !a.orderInFlight.CompareAndSwap(false, true) {
		return
	}
	a.orderWG.Go(func() {
		defer a.orderInFlight.Store(false)
		a.sendOrder(order)
	})
}

// sendOrder sends an order and sets the earliest time of the next one.
func (a *Agent) sendOrder(order Order) {
	ctx, cancel := context.WithTimeout(a.workCtx, orderTimeout)
	defer cancel()
	err := a.upstream.Order(ctx, order)
	delay := orderRetryDelay + rand.N(orderRetryDelay)
	var retry interface{ RetryAfter() time.Duration }
	switch {
	case err == nil:
		a.log.Info("order accepted", "model", order.Model, "version", order.Version, "ticket", order.Fence)
		a.Inc("ordered", "")
	case errors.As(err, &retry):
		// All engines share the rate limit of the weight store. The jitter spreads
		// their retries when the whole fleet starts at once.
		delay = retry.RetryAfter() + rand.N(retry.RetryAfter()+orderRetryDelay)
		fallthrough
	default:
		a.log.Warn("order failed", "model", order.Model, "version", order.Version, "ticket", order.Fence, "wait", delay, "err", err)
		a.Inc("order_failed", "")
	}
	a.update(func(s *state) {
		s.nextOrderAt = time.Now().Add(delay)
		if err == nil {
			s.lastOrder = order
		}
	})
}

// desiredOrder returns the order for the configured model. ok is false if the
// upstream is not an engine or its model is not configured.
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

// satisfies reports whether an engine that has loaded have serves want: the same
// model and version, and at least its adapters.
func satisfies(want, have Loaded) bool {
	if want.Model != have.Model || want.Version != have.Version {
		return false
	}
	loaded := map[wire.AdapterID]bool{}
	for _, x := range have.Adapters {
		loaded[x] = true
	}
	for _, x := range want.Adapters {
		if !loaded[x] {
			return false
		}
	}
	return true
}
