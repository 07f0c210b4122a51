package bench

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
)

// writePage prints the page: table, conditions and measured series.
func (c *capacityRun) writePage(w io.Writer) {
	fmt.Fprintln(w, "# Capacity")
	fmt.Fprintf(w, "\nWritten by `go run ./bench/cmd/bench capacity` with seed %d on %d cores, %s.\n", c.seed, runtime.NumCPU(), runtime.Version())
	fmt.Fprintf(w, "Other work ran on the machine, so times in parts a and b are the least of several\nrounds; those of running processes are from one window each. A baseline, SHA-256 of 1 KiB, took %d ns in the same run, and times are given as multiples of it too (×B).\n", c.baseline.Nanoseconds())
	fmt.Fprintln(w, "The 99.9th percentile of a few hundred samples is their maximum. `bench capacity -parts g` measures\ngossip among as many routers as the target has, in about a minute more.")
	fmt.Fprintln(w, "\n## Figures at the target size")
	fmt.Fprintln(w)
	lines := c.rows()
	WriteTable(w, lines)
	fmt.Fprintln(w, "\n## Missed targets")
	fmt.Fprintln(w)
	WriteMissed(w, lines)
	if len(c.notes) > 0 {
		fmt.Fprintln(w, "\n## Notes")
		fmt.Fprintln(w)
		for _, n := range c.notes {
			fmt.Fprintln(w, "- "+n)
		}
	}
	fmt.Fprintln(w, "\n## Measured")
	for _, s := range c.allSeries {
		s.Write(w)
		c.writeBaselineMultiples(w, s)
	}
	fmt.Fprint(w, "\nTime of the parts:")
	for _, p := range Parts + "g" {
		if d, ok := c.partDurations[string(p)]; ok {
			fmt.Fprintf(w, " %c %.1f s", p, d.Seconds())
		}
	}
	fmt.Fprintln(w, ".")
}

// writeBaselineMultiples prints the slopes of a time as multiples of the baseline.
func (c *capacityRun) writeBaselineMultiples(w io.Writer, s *Series) {
	unit, ok := map[string]float64{"µs": 1e3, "ms": 1e6, "µs/s": 1e3}[s.Unit]
	ok = ok && !strings.HasPrefix(s.Name, "time until") // waits are no processor time
	f, err := s.Fit()
	if !ok || err != nil {
		return
	}
	fmt.Fprintf(w, "In ×B: %s", formatNumber(f.Coef[0]*unit/float64(c.baseline)))
	for i, v := range s.Vars {
		fmt.Fprintf(w, " + %s per unit of %s", formatNumber(f.Coef[i+1]*unit/float64(c.baseline)), v)
	}
	fmt.Fprintln(w, ".")
}

// residentMemory returns the process's resident memory in bytes, or 0 when it is not
// known.
func residentMemory() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}
