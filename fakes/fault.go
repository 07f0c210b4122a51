package fakes

import (
	"errors"
	"time"
)

// Fault changes how a stand-in behaves; fields that are not set leave things as they
// are. Times are in milliseconds and rates are shares of calls from 0 to 1.
type Fault struct {
	// Crash ends the run, which resets the connection that asked for it; Restart begins a
	// new run after the given time.
	Crash   bool `json:"crash,omitempty"`
	Restart *int `json:"restart,omitempty"`
	// Silence makes established connections silent for good.
	Silence bool `json:"silence,omitempty"`
	// Drop resets established connections.
	Drop bool `json:"drop,omitempty"`

	// Delay is added to each call of an upstream.
	Delay *int `json:"delay,omitempty"`
	// Fail is the rate of calls answered 500 without being executed.
	Fail *float64 `json:"fail,omitempty"`
	// Lose is the rate of calls that are executed and whose connection is then closed.
	Lose *float64 `json:"lose,omitempty"`
	// Mute is the rate of calls that are executed and never answered.
	Mute *float64 `json:"mute,omitempty"`
	// Cold turns an upstream cold or warm.
	Cold *bool `json:"cold,omitempty"`
	// Poison is the text that crashes an upstream; empty for none.
	Poison *string `json:"poison,omitempty"`
	// Fencing says whether an engine rejects orders with an old fence.
	Fencing *bool `json:"fencing,omitempty"`
	// Hold stops an engine's token production, or ends such a stop; Step then allows a
	// number of batch steps.
	Hold *bool `json:"hold,omitempty"`
	Step int   `json:"step,omitempty"`

	// Lag is the age of a load report or host list.
	Lag *int `json:"lag,omitempty"`
	// Stale freezes a load report, host list or configuration service; Index makes the
	// latter serve its state as of an index.
	Stale *bool `json:"stale,omitempty"`
	Index *int  `json:"index,omitempty"`
	// Down makes a platform stand-in close connections without an answer.
	Down *bool `json:"down,omitempty"`
	// Rate limits calls a second of a platform stand-in; zero means no limit.
	Rate *int `json:"rate,omitempty"`
}

// ErrUnsupported is returned for a fault that the stand-in does not have. The
// supported parts of the fault are in force.
var ErrUnsupported = errors.New("fault is not supported by this stand-in")

// Apply puts f in force.
func (s *server) Apply(f Fault) error {
	s.onFault(&f)
	if f.Silence {
		s.Silence()
	}
	if f.Drop {
		s.Drop()
	}
	if f.Crash {
		s.Crash()
	}
	if f.Restart != nil {
		s.restartAfter(millis(*f.Restart))
	}
	f.Silence, f.Drop, f.Crash, f.Restart = false, false, false, nil
	if f != (Fault{}) {
		return ErrUnsupported
	}
	return nil
}

func (s *server) restartAfter(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.closing == nil {
		return
	}
	done := s.closing
	s.restarts.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			s.Restart() // a failed restart shows as a refused connection
		case <-done:
		}
	})
}

// consume copies the value that p points to into dst and clears p.
func consume[T any](dst *T, p **T) {
	if *p != nil {
		*dst, *p = **p, nil
	}
}

func consumeMillis(dst *time.Duration, p **int) {
	if *p != nil {
		*dst, *p = millis(**p), nil
	}
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
