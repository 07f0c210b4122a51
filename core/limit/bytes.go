package limit

import "sync/atomic"

// Bytes bounds the memory that is used for a purpose at a time. It is safe for concurrent use.
type Bytes struct {
	max  int64
	used atomic.Int64
}

// NewBytes returns a Bytes of which at most maxBytes can be taken.
func NewBytes(maxBytes int64) *Bytes { return &Bytes{max: maxBytes} }

// Take takes n bytes if there are as many, and reports whether it has.
func (b *Bytes) Take(n int64) bool {
	if b.used.Add(n) <= b.max {
		return true
	}
	b.used.Add(-n)
	return false
}

// Give gives n bytes back that were taken.
func (b *Bytes) Give(n int64) { b.used.Add(-n) }

// Used returns the bytes that are taken.
func (b *Bytes) Used() int64 { return b.used.Load() }
