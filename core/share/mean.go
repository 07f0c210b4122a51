package share

import "sync/atomic"

// meanWeight is the divisor of a new value in the moving average.
const meanWeight = 8

// Mean estimates the cost of the next entry as a moving average of past costs.
// The zero value knows nothing; it is safe for concurrent use.
type Mean struct{ value atomic.Int64 }

// Estimate returns the average, or first before any cost was learnt. It is at
// least 1.
func (m *Mean) Estimate(first int64) int64 {
	if v := m.value.Load(); v > 0 {
		return v
	}
	return max(first, 1)
}

// Learn moves the average towards cost; costs below 1 count as 1. Of two calls at
// the same time one may be lost, which an estimate bears.
func (m *Mean) Learn(cost int64) {
	cost = max(cost, 1)
	old := m.value.Load()
	if old == 0 {
		m.value.CompareAndSwap(0, cost)
		return
	}
	m.value.CompareAndSwap(old, max(old+(cost-old)/meanWeight, 1))
}
