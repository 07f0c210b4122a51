package share

import "sync/atomic"

// smoothingDivisor is the inverse of the weight of a new value in the average.
const smoothingDivisor = 8

// MovingAverage estimates the cost of the next entry as an exponential moving average
// of past costs. The zero value is an average of no costs. It is safe for concurrent
// use.
type MovingAverage struct{ value atomic.Int64 }

// Estimate returns the average, or initial if no cost was observed yet. The result is
// at least 1.
func (m *MovingAverage) Estimate(initial int64) int64 {
	if v := m.value.Load(); v > 0 {
		return v
	}
	return max(initial, 1)
}

// Observe adds cost to the average; costs below 1 count as 1. One of two concurrent
// calls may be lost, which is acceptable for an estimate.
func (m *MovingAverage) Observe(cost int64) {
	cost = max(cost, 1)
	old := m.value.Load()
	if old == 0 {
		m.value.CompareAndSwap(0, cost)
		return
	}
	m.value.CompareAndSwap(old, max(old+(cost-old)/smoothingDivisor, 1))
}
