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

// measureStore measures the ticket store (part a).
func (c *capacityRun) measureStore(context.Context) error {
	vars := []string{"upstreams", "teams"}
	memory := c.addSeries("a", "memory of the ticket store", "MB", vars...)
	apply := c.addSeries("a", "applying one ticket", "µs", vars...)
	merge := c.addSeries("a", "merging a whole configuration", "ms", vars...)
	digest := c.addSeries("a", "computing a digest", "µs", vars...)
	encodedSize := c.addSeries("a", "a whole configuration in messages", "MB", vars...)
	// The first merge also compiles the schema, which must not count as memory or time
	// of a store.
	if _, _, err := timeMerge(configSpec{1, 1, targetPools}, 1); err != nil {
		return err
	}
	for _, upstreams := range c.size.upstreams {
		for _, teams := range c.size.teams {
			x := []float64{float64(upstreams), float64(teams)}
			spec := configSpec{upstreams, teams, targetPools}
			before := liveHeap()
			store, elapsed, err := timeMerge(spec, c.size.rounds)
			if err != nil {
				return err
			}
			memory.Add((liveHeap()-before)/megabyte, x...)
			merge.Add(elapsed.Seconds()*1e3, x...)
			elapsed, err = c.timeApply(store, spec)
			if err != nil {
				return err
			}
			apply.Add(elapsed.Seconds()*1e6, x...)
			digest.Add(shortestRun(10*c.size.rounds, func() { store.Digest() }).Seconds()*1e6, x...)
			runtime.KeepAlive(store)
			encoded, err := (&wire.Sync{Objects: spec.objects(1)}).MarshalMsg(nil)
			if err != nil {
				return err
			}
			encodedSize.Add(float64(len(encoded))/megabyte, x...)
		}
	}
	return nil
}

// liveHeap returns the bytes of live heap objects after a garbage collection.
func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the second collection frees objects that finalizers kept alive
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// shortestRun returns the shortest duration of f over several rounds: the one least
// disturbed by other work on the machine.
func shortestRun(rounds int, f func()) time.Duration {
	best := time.Duration(1<<63 - 1)
	for range rounds {
		start := time.Now()
		f()
		best = min(best, time.Since(start))
	}
	return best
}

// timeMerge merges a whole configuration into an empty store and returns the store and
// the shortest time, which includes generating the objects.
func timeMerge(spec configSpec, rounds int) (s *ticket.Store, elapsed time.Duration, err error) {
	elapsed = shortestRun(max(1, rounds/3), func() {
		objs := spec.objects(1)
		if s, _, err = new(ticket.Store).Merge(objs); err == nil && s.Len() != len(objs) {
			err = fmt.Errorf("store holds %d objects of %d", s.Len(), len(objs))
		}
	})
	return s, elapsed, err
}

// timeApply returns the shortest time to apply a ticket that changes one upstream. The
// upstreams are taken in random order.
func (c *capacityRun) timeApply(s *ticket.Store, spec configSpec) (time.Duration, error) {
	var err error
	order := shuffled(c.seed, spec.upstreams)
	n, i := s.Head(), 0
	elapsed := shortestRun(10*c.size.rounds, func() {
		n++
		i++
		o := spec.upstream(order[i%len(order)], "10.9.9.9:7000")
		if _, _, e := s.Apply(wire.Ticket{Number: n, Objects: []wire.Object{o}}); e != nil {
			err = e
		}
	})
	return elapsed, err
}
