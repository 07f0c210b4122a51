package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

const megabyte = 1e6

// measureStore measures the ticket store.
func (c *capacityRun) measureStore(context.Context) error {
	vars := []string{"upstreams", "teams"}
	memory := c.addSeries("a", "memory of the ticket store", "MB", vars...)
	apply := c.addSeries("a", "applying one ticket", "µs", vars...)
	merge := c.addSeries("a", "merging a whole configuration", "ms", vars...)
	digest := c.addSeries("a", "computing a digest", "µs", vars...)
	wired := c.addSeries("a", "a whole configuration in messages", "MB", vars...)
	// The first merge compiles the schema, which is not part of a store.
	if _, _, err := timeMerge(configSpec{1, 1, targetPools}, 1); err != nil {
		return err
	}
	for _, ups := range c.size.upstreams {
		for _, teams := range c.size.teams {
			x := []float64{float64(ups), float64(teams)}
			r := configSpec{ups, teams, targetPools}
			before := liveHeap()
			s, took, err := timeMerge(r, c.size.rounds)
			if err != nil {
				return err
			}
			memory.Add((liveHeap()-before)/megabyte, x...)
			merge.Add(took.Seconds()*1e3, x...)
			took, err = c.timeApply(s, r)
			if err != nil {
				return err
			}
			apply.Add(took.Seconds()*1e6, x...)
			digest.Add(shortestRun(10*c.size.rounds, func() { s.Digest() }).Seconds()*1e6, x...)
			runtime.KeepAlive(s)
			text, err := (&wire.Sync{Objects: r.objects(1)}).MarshalMsg(nil)
			if err != nil {
				return err
			}
			wired.Add(float64(len(text))/megabyte, x...)
		}
	}
	return nil
}

// liveHeap returns the bytes of live objects after a collection.
func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the second one frees what finalizers held
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// shortestRun returns the shortest of several rounds, which other work on the machine
// disturbs least.
func shortestRun(rounds int, f func()) time.Duration {
	best := time.Duration(1<<63 - 1)
	for range rounds {
		begun := time.Now()
		f()
		best = min(best, time.Since(begun))
	}
	return best
}

// timeMerge merges a configuration into an empty store and returns the store and
// the shortest time.
func timeMerge(r configSpec, rounds int) (s *ticket.Store, took time.Duration, err error) {
	took = shortestRun(max(1, rounds/3), func() {
		objs := r.objects(1)
		if s, _, err = new(ticket.Store).Merge(objs); err == nil && s.Len() != len(objs) {
			err = fmt.Errorf("store holds %d objects of %d", s.Len(), len(objs))
		}
	})
	return s, took, err
}

// timeApply returns the shortest time in which a ticket that changes one upstream
// is applied.
func (c *capacityRun) timeApply(s *ticket.Store, r configSpec) (time.Duration, error) {
	var err error
	order := shuffled(c.seed, r.upstreams)
	n, i := s.Head(), 0
	took := shortestRun(10*c.size.rounds, func() {
		n++
		i++
		o := r.upstream(order[i%len(order)], "10.9.9.9:7000")
		if _, _, e := s.Apply(wire.Ticket{Number: n, Objects: []wire.Object{o}}); e != nil {
			err = e
		}
	})
	return took, err
}
