// Package clock is a timer service that components subscribe to. One goroutine
// serves all subscriptions, and a late tick reveals that the process was paused.
package clock

import (
	"context"
	"sync"
	"time"
)

// PauseThreshold is the lateness over which a tick counts as the end of a pause.
const PauseThreshold = time.Second

// Tick is one due time of a subscription.
type Tick struct {
	// Now is the time at which the tick was sent.
	Now time.Time
	// Late is the time since the tick was due, on the monotonic clock.
	Late time.Duration
}

// Paused reports whether the process was paused before the tick.
func (t Tick) Paused() bool { return t.Late > PauseThreshold }

// Subscription receives ticks until it is closed.
type Subscription struct {
	// C holds one tick. While nobody receives it, later ticks replace it and the
	// greatest lateness is kept, so that no pause goes unnoticed.
	C <-chan Tick

	name    string
	service *Service
	send    chan Tick
	period  time.Duration
	due     time.Time
	missed  uint64
}

// Service sends ticks. It is safe for concurrent use; Run must run for ticks to
// be sent.
type Service struct {
	now  func() time.Time
	wake chan struct{}

	mu   sync.Mutex
	subs map[*Subscription]struct{}
}

// Option changes a setting of a service.
type Option func(*Service)

// WithNow sets the source of the time.
func WithNow(now func() time.Time) Option { return func(s *Service) { s.now = now } }

// New returns a service without subscriptions.
func New(opts ...Option) *Service {
	s := &Service{
		now:  time.Now,
		wake: make(chan struct{}, 1),
		subs: make(map[*Subscription]struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Subscribe returns a subscription with a tick every period, the first one after
// a period. A pause shorter than the period can fall between two ticks; a
// component that watches for pauses needs a period of 1 s or less. Subscribe
// panics unless the period is positive.
func (s *Service) Subscribe(period time.Duration, name string) *Subscription {
	if period <= 0 {
		panic("clock: period of " + name + " is not positive")
	}
	c := make(chan Tick, 1)
	sub := &Subscription{C: c, name: name, service: s, send: c, period: period}
	s.mu.Lock()
	sub.due = s.now().Add(period)
	s.subs[sub] = struct{}{}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sub
}

// Close ends the subscription. A tick sent before may still be in C.
func (sub *Subscription) Close() {
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	delete(sub.service.subs, sub)
}

// View describes a subscription for the state dump.
type View struct {
	Name   string        `json:"name"`
	Period time.Duration `json:"period"`
	// Missed counts ticks that were due and not received, because the subscriber
	// was slow or the process was paused.
	Missed uint64 `json:"missed"`
}

// Views returns the open subscriptions in no particular order.
func (s *Service) Views() []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	views := make([]View, 0, len(s.subs))
	for sub := range s.subs {
		views = append(views, View{sub.name, sub.period, sub.missed})
	}
	return views
}

// idleInterval is the time that Run sleeps without subscriptions; Subscribe wakes it.
const idleInterval = time.Hour

// Run sends ticks until ctx ends and returns its error. Only one Run may run.
func (s *Service) Run(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		timer.Reset(s.sendDue())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// sendDue sends the ticks that are due and returns the time until the next one.
func (s *Service) sendDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	next := idleInterval
	for sub := range s.subs {
		if late := now.Sub(sub.due); late >= 0 {
			sub.sendTick(now, late)
		}
		next = min(next, sub.due.Sub(now))
	}
	return next
}

// sendTick sends one tick for all periods that have passed and sets the next one.
func (sub *Subscription) sendTick(now time.Time, late time.Duration) {
	passed := late/sub.period + 1
	sub.due = sub.due.Add(passed * sub.period)
	sub.missed += uint64(passed - 1)
	select {
	case old := <-sub.send:
		sub.missed++
		late = max(late, old.Late)
	default:
	}
	sub.send <- Tick{now, late}
}
