package policy

import (
	"container/heap"
	"time"
)

// epoch is the wall time of virtual time 0.
var epoch = time.Unix(1_000_000, 0)

// eventLoop runs events in virtual time, those of equal time in order of creation.
type eventLoop struct {
	now    time.Duration
	seq    int
	events eventHeap
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// after schedules f at d from now.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{l.now + max(d, 0), l.seq, f})
}

// every schedules f each period until the loop ends.
func (l *eventLoop) every(period time.Duration, f func()) {
	l.after(period, func() {
		f()
		l.every(period, f)
	})
}

// runUntil runs the events up to time end.
func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

func (l *eventLoop) wallTime() time.Time { return epoch.Add(l.now) }

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
