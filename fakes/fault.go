package fakes

import (
	"errors"
	"time"
)

// Fault changes how a stand-in behaves. Fields that are not set change nothing. Times are
// in milliseconds. Fail, Lose and Mute are fractions of calls from 0 to 1.
type Fault struct {
	// Crash ends the run, which also resets the connection that sent the fault. Restart
	// begins a new run after the given time.
	Crash   bool `json:"crash,omitempty"`
	Restart *int `json:"restart,omitempty"`
	// Silence makes established connections discard all data, permanently.
	Silence bool `json:"silence,omitempty"`
	// Drop resets established connections.
	Drop bool `json:"drop,omitempty"`

	// Delay is the time by which an upstream delays each call.
	Delay *int `json:"delay,omitempty"`
	// Fail is the fraction of calls that are answered 500 without being executed.
	Fail *float64 `json:"fail,omitempty"`
	// Lose is the fraction of calls that are executed and whose connection is then closed
	// without an answer.
	Lose *float64 `json:"lose,omitempty"`
	// Mute is the fraction of calls that are executed but never answered.
	Mute *float64 `json:"mute,omitempty"`
	// Cold makes an upstream cold (true) or warm (false).
	Cold *bool `json:"cold,omitempty"`
	// Poison is the text that crashes an upstream if a prompt or body contains it; empty
	// means none.
	Poison *string `json:"poison,omitempty"`
	// Fencing says whether an engine rejects orders whose fence is lower than the highest
	// seen.
	Fencing *bool `json:"fencing,omitempty"`
	// Hold stops (true) or resumes (false) an engine's token production. Step allows this
	// number of batch steps while it is stopped.
	Hold *bool `json:"hold,omitempty"`
	Step int   `json:"step,omitempty"`

	// Lag is the age of a load report or host list.
	Lag *int `json:"lag,omitempty"`
	// Stale freezes a load report, host list or configuration service. Index makes a stale
	// configuration service serve its state as of that index.
	Stale *bool `json:"stale,omitempty"`
	Index *int  `json:"index,omitempty"`
	// Down makes a platform stand-in close connections without an answer (true) or answer
	// again (false).
	Down *bool `json:"down,omitempty"`
	// Rate is the limit of calls per second of a platform stand-in; zero means no limit.
	Rate *int `json:"rate,omitempty"`
}

// ErrUnsupported is returned for a fault with fields that the stand-in does not support.
// The supported fields are applied nevertheless.
var ErrUnsupported = errors.New("fault is not supported by this stand-in")

// Apply applies f. It returns ErrUnsupported if the stand-in does not support all fields
// that are set.
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

// restartAfter restarts the stand-in after d unless it is closed first.
func (s *server) restartAfter(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.closing == nil {
		return
	}
	closing := s.closing
	s.restarts.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			s.Restart() // if it fails, callers see refused connections
		case <-closing:
		}
	})
}

// consume copies the value of a fault field into dst and clears the field, which marks it
// as supported. A field that is not set changes nothing.
func consume[T any](dst *T, field **T) {
	if *field != nil {
		*dst, *field = **field, nil
	}
}

// consumeMillis is like consume for a field in milliseconds.
func consumeMillis(dst *time.Duration, field **int) {
	if *field != nil {
		*dst, *field = millis(**field), nil
	}
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
