package entry

import (
	"errors"
	"io"

	"hornbeamcove.example/core/limit"
)

const (
	// freeHeldBytes is the size up to which a body or an event is held without being counted.
	// Few are larger.
	freeHeldBytes = 16 << 10
	// bodyShare and answerShare are the parts of the memory in which larger bodies of requests
	// and larger answers, with their heads, are held at a time: 1/bodyShare and 1/answerShare.
	bodyShare   = 4
	answerShare = 8
)

var errNoMemory = errors.New("too many large bodies and heads are held")

// heldShare is the memory of one body, event or head. What exceeds freeHeldBytes is taken from a bound
// that all share, unless that is nil.
type heldShare struct {
	bound *limit.Bytes
	taken int64
}

// grow takes memory for n bytes in all, and reports whether there is enough.
func (s *heldShare) grow(n int) bool {
	if more := int64(n) - freeHeldBytes - s.taken; more > 0 && s.bound != nil {
		if !s.bound.Take(more) {
			return false
		}
		s.taken += more
	}
	return true
}

// release gives the memory back.
func (s *heldShare) release() {
	if s.bound != nil {
		s.bound.Give(s.taken)
	}
	s.taken = 0
}

// held is a body or an event in memory.
type held struct {
	heldShare
	data []byte
}

// grow makes room for n bytes in all, and reports whether there is enough memory.
func (h *held) grow(n int) bool {
	if n <= cap(h.data) {
		return true
	}
	if !h.heldShare.grow(n) {
		return false
	}
	h.data = append(make([]byte, 0, n), h.data...)
	return true
}

// release gives the memory back.
func (h *held) release() {
	h.data = nil
	h.heldShare.release()
}

// minRead is the size of the first read of a body of unknown size.
const minRead = 512

// readHeld reads r to its end, but at most about maxBytes. size is the expected size, or below 0 if
// it is unknown. whole is false if there is more, or may be more for which there is no memory; r
// then goes on after the bytes that are held. The caller must release h.
func readHeld(r io.Reader, size int64, maxBytes int, bound *limit.Bytes) (h *held, whole bool, err error) {
	// One byte more than the size shows the end. What is only announced takes no memory.
	most := maxBytes + 1
	if size >= 0 && size < int64(maxBytes) {
		most = int(size) + 1
	}
	h = &held{heldShare: heldShare{bound: bound}}
	for n := min(most, freeHeldBytes); ; n = min(2*n, most) {
		if size < 0 && len(h.data) == 0 {
			n = minRead
		}
		if !h.grow(n) {
			return h, false, nil
		}
		for len(h.data) < n {
			k, err := r.Read(h.data[len(h.data):n])
			h.data = h.data[:len(h.data)+k]
			if errors.Is(err, io.EOF) {
				return h, true, nil
			}
			if err != nil {
				return h, false, err
			}
		}
		if n >= most {
			return h, false, nil
		}
	}
}
