package policy

import (
	"container/heap"
	"time"
)

// epoch is the wall time of virtual time 0.
var epoch = time.Unix(1_000_000, 0)

// loop runs events in virtual time, those of equal time in order of creation.
type loop struct {
	now    time.Duration
	serial int
	events events
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

// after schedules f at d from now.
func (l *loop) after(d time.Duration, f func()) {
	l.serial++
	heap.Push(&l.events, event{l.now + max(d, 0), l.serial, f})
}

// every schedules f each period until the loop ends.
func (l *loop) every(period time.Duration, f func()) {
	l.after(period, func() {
		f()
		l.every(period, f)
	})
}

// until runs the events up to time end.
func (l *loop) until(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

func (l *loop) wall() time.Time { return epoch.Add(l.now) }

type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
