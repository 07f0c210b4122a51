package shed

import (
	"math"
	"time"

	"hornbeamcove.example/core/fleet"
)

const (
	// mixWindow is the time constant of the averages in a Mix: long enough for a router with a few
	// requests a second to know all classes, short enough to follow a burst of one kind.
	mixWindow = 2 * time.Second
	// sizeWeight is the weight of a new request in the mean work of a route.
	sizeWeight = 0.02
	// maxSizeFraction is the fraction of a size up to which it is turned away for its size. The
	// other half is served, so that no size is served less than half as often as its kind.
	maxSizeFraction = 0.5
)

// Group says what requests of a rank have in common that goes before their size. Higher groups
// are turned away first.
type Group uint8

// Groups of requests.
const (
	Normal    Group = iota
	Late            // will miss the target in any case
	OverShare       // of a team that exceeds its share of the service
	groups
)

// String returns the name of the group for the log.
func (g Group) String() string { return [...]string{"normal", "late", "over share"}[g] }

// Size is the work that a request needs, compared with the mean of its route. Larger ones are
// turned away first, since each makes room for several.
type Size uint8

// Sizes of requests.
const (
	Small  Size = iota // less than half of the mean
	Medium             // less than the mean
	Big                // less than twice the mean
	Huge
	sizes
)

// String returns the name of the size for the log.
func (s Size) String() string { return [...]string{"small", "medium", "big", "huge"}[s] }

// Class is the place of a request within its rank.
type Class struct {
	Group Group
	Size  Size
}

// Mix is the work of the requests for a service that have arrived at a router, by rank and class,
// as averages that decay exponentially. The zero value is ready to use. It is not safe for
// concurrent use.
type Mix struct {
	ranks [fleet.RankLevels]rankMix
}

type rankMix struct {
	work [groups][sizes]float64
	at   time.Time
}

// Record adds the work of a request that has arrived, in any unit. The decisions on it and on
// later requests count it.
func (m *Mix) Record(now time.Time, rank int, c Class, work float64) {
	r := &m.ranks[fleet.RankLevel(rank)]
	if dt := now.Sub(r.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / mixWindow.Seconds())
		for g := range r.work {
			for s := range r.work[g] {
				r.work[g][s] *= f
			}
		}
		r.at = now
	}
	r.work[c.Group][c.Size] += work
}

// Sheds reports whether a request is turned away if this happens to the given fraction of the
// work of its rank: all of the higher groups, and of its own group the large requests up to
// maxSizeFraction, or each size alike if that isn't enough. draw is a random number in [0, 1). A
// request that needs several services uses the same draw for each: what the one turns away then
// makes room at the others.
func (m *Mix) Sheds(rank int, c Class, fraction, draw float64) bool {
	if fraction <= 0 || fraction >= 1 {
		return fraction >= 1
	}
	r := &m.ranks[fleet.RankLevel(rank)]
	left := 0.0 // work to turn away
	for g := range r.work {
		left += fraction * sum(&r.work[g])
	}
	for g := groups - 1; g > c.Group; g-- {
		left -= sum(&r.work[g])
	}
	if left <= 0 {
		return false
	}
	most := max(maxSizeFraction, left/sum(&r.work[c.Group]))
	for size := sizes - 1; size > c.Size; size-- {
		left -= most * r.work[c.Group][size]
	}
	return draw < most && draw*r.work[c.Group][c.Size] < left
}

func sum(work *[sizes]float64) (total float64) {
	for _, w := range work {
		total += w
	}
	return total
}

// MeanWork is the mean work of a route's requests. The zero value is ready to use. It is not safe
// for concurrent use.
type MeanWork struct{ mean float64 }

// Classify returns the size of a request that needs the given work, and counts it.
func (m *MeanWork) Classify(work float64) Size {
	m.Record(work)
	return m.SizeOf(work)
}

// Record counts the work of a request.
func (m *MeanWork) Record(work float64) {
	if m.mean == 0 {
		m.mean = work
	}
	m.mean += sizeWeight * (work - m.mean)
}

// SizeOf returns the size of a request that needs the given work. The first one is Big, as is any that
// needs the mean.
func (m *MeanWork) SizeOf(work float64) Size {
	switch {
	case m.mean == 0:
		return Big
	case work < m.mean/2:
		return Small
	case work < m.mean:
		return Medium
	case work < 2*m.mean:
		return Big
	}
	return Huge
}
