// Package clock provides a ticker service that components subscribe to. One
// goroutine serves all subscriptions. A late tick shows that the process was paused.
package clock

import (
	"context"
	"sync"
	"time"
)

// PauseThreshold is the lateness above which a tick indicates that the process was
// paused.
const PauseThreshold = time.Second

// Tick is sent to a subscription when a period has passed. After a pause, one tick
// stands for all periods that passed.
type Tick struct {
	// Now is the time at which the tick was sent.
	Now time.Time
	// Late is the time since the tick was due, measured on the monotonic clock.
	Late time.Duration
}

// Paused reports whether the process was paused before the tick.
func (t Tick) Paused() bool { return t.Late > PauseThreshold }

// Subscription receives ticks until it is closed.
type Subscription struct {
	// C buffers one tick. A tick that was not received is replaced by the next one,
	// which keeps the greater lateness, so that no pause goes unnoticed.
	C <-chan Tick

	name    string
	service *Service
	send    chan Tick
	period  time.Duration
	due     time.Time
	missed  uint64
}

// Service sends ticks to its subscriptions while Run runs. It is safe for concurrent
// use.
type Service struct {
	now  func() time.Time
	wake chan struct{}

	mu   sync.Mutex
	subs map[*Subscription]struct{}
}

// Option changes a setting of a service.
type Option func(*Service)

// WithNow sets the function that returns the current time. The default is time.Now.
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

// Subscribe returns a subscription that ticks every period, first after one period.
// A pause shorter than the period can fall between two ticks, so a component that
// detects pauses needs a period of 1 s or less. Subscribe panics if the period is not
// positive.
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

// Close ends the subscription. C may still hold a tick that was sent before.
func (sub *Subscription) Close() {
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	delete(sub.service.subs, sub)
}

// View describes a subscription for the state dump.
type View struct {
	Name   string        `json:"name"`
	Period time.Duration `json:"period"`
	// Missed counts the ticks that were due but not received, because the subscriber
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

// maxSleep is the longest time that Run sleeps. Subscribe wakes it earlier.
const maxSleep = time.Hour

// Run sends ticks until ctx is done and returns its error. It must not be called
// concurrently.
func (s *Service) Run(ctx context.Context) error {
	timer := time.NewTimer(maxSleep)
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

// sendDue sends the ticks that are due and returns the time until the next is due.
func (s *Service) sendDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	next := maxSleep
	for sub := range s.subs {
		if late := now.Sub(sub.due); late >= 0 {
			sub.sendTick(now, late)
		}
		next = min(next, sub.due.Sub(now))
	}
	return next
}

// sendTick sends a single tick for all periods that have passed and sets the time of
// the next one.
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
