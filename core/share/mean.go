package share

import "sync/atomic"

// smoothingDivisor is the divisor of a new value in the moving average.
const smoothingDivisor = 8

// MovingAverage estimates the cost of the next entry as a moving average of past costs.
// The zero value knows nothing; it is safe for concurrent use.
type MovingAverage struct{ value atomic.Int64 }

// Estimate returns the average, or first before any cost was learnt. It is at
// least 1.
func (m *MovingAverage) Estimate(first int64) int64 {
	if v := m.value.Load(); v > 0 {
		return v
	}
	return max(first, 1)
}

// Observe moves the average towards cost; costs below 1 count as 1. Of two calls at
// the same time one may be lost, which an estimate bears.
func (m *MovingAverage) Observe(cost int64) {
	cost = max(cost, 1)
	old := m.value.Load()
	if old == 0 {
		m.value.CompareAndSwap(0, cost)
		return
	}
	m.value.CompareAndSwap(old, max(old+(cost-old)/smoothingDivisor, 1))
}
