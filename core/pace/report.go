package pace

import (
	"errors"
	"fmt"
)

// Percent is how long work takes at an upstream at a moment, relative to its usual time.
type Percent int

// Usual is the figure of an upstream whose work takes as long as usual.
const Usual Percent = 100

const (
	// fastest and slowest bound the pace that counts, so that one upstream neither draws all
	// requests nor makes all others look idle.
	fastest, slowest = Usual / 2, 4 * Usual
	// maxFigure bounds the counts of a report, as the registry bounds the slots of an upstream.
	maxFigure = 1 << 20
	// minPercent and maxPercent bound the figure of pace. An upstream beyond them would answer
	// hardly any request within its deadline, or tells it in another unit.
	minPercent, maxPercent = Usual / 10, 10 * Usual
)

// Report is the load that an upstream tells in an answer. The zero value is not valid.
type Report struct {
	Running, Waiting int     // requests of all routers
	Slots            int     // requests that run at a time
	Pace             Percent // 0 if the upstream doesn't tell it
}

// Check returns an error that names the first figure out of range.
func (r Report) Check() error {
	switch {
	case r.Running < 0 || r.Running > maxFigure:
		return fmt.Errorf("%d running requests", r.Running)
	case r.Waiting < 0 || r.Waiting > maxFigure:
		return fmt.Errorf("%d waiting requests", r.Waiting)
	case r.Slots <= 0 || r.Slots > maxFigure:
		return fmt.Errorf("%d slots", r.Slots)
	case r.Pace != 0 && (r.Pace < minPercent || r.Pace > maxPercent):
		return fmt.Errorf("pace of %d percent", r.Pace)
	}
	return nil
}

// maxQueue is the number of requests in an upstream, as a multiple of its slots, beyond which
// a report is taken to be wrong: upstreams queue few requests and reject more.
const maxQueue = 8

// Plausible reports whether an upstream with the given slots, as registered, can have so many
// requests.
func (r Report) Plausible(slots int) bool {
	return r.Running+r.Waiting <= maxQueue*max(slots, 1)
}

// errFigures is the error of NewReport for a wrong number of figures.
var errFigures = errors.New("not three or four figures")

// NewReport returns the report with the given figures: running, waiting, slots and, if there
// are four, the pace, which is then positive.
func NewReport(figures ...int) (r Report, err error) {
	defer func() {
		if err != nil {
			r, err = Report{}, fmt.Errorf("read load: %w", err)
		}
	}()
	if len(figures) != 3 && len(figures) != 4 {
		return r, errFigures
	}
	r = Report{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
	if len(figures) == 4 {
		if r.Pace = Percent(figures[3]); r.Pace == 0 {
			return r, errors.New("pace of 0 percent")
		}
	}
	return r, r.Check()
}
