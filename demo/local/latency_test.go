package local

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

// echoSpec returns a fleet with one service that answers without delay.
func echoSpec() Spec {
	return Spec{
		Centres: []Centre{{"palermo", "sicily", nil}},
		Pools:   []Pool{{Name: "echo", Kind: wire.KindEncode, PerCentre: 1, Limit: 64, Cold: 64, Opts: []fakes.Option{fakes.WithSlots(64, 64), fakes.WithDelay(0)}}},
		Teams:   []Team{{TeamFolders, 1, "folders-key"}},
		Pipelines: map[wire.PipelineID]wire.Pipeline{"echo": {
			Deadline: 3000, Rank: wire.RankInteractive, Teams: []wire.TeamID{TeamFolders},
			Stages: []wire.Stage{{Name: "encode", Kind: wire.KindEncode, Pool: "echo", Expect: 1}},
		}},
		Routers: 1,
	}
}

// BenchmarkAddedLatency calls a simulated upstream alternately directly and through
// router and agent. It reports the ratios of their latencies and CPU times, and the CPU
// time of a routed request.
func BenchmarkAddedLatency(b *testing.B) {
	f, err := Start(context.Background(), echoSpec())
	assert.NilError(b, err)
	defer func() { assert.NilError(b, f.Close()) }()
	body := map[string]string{"prompt": "fold"}
	direct := func() {
		req, err := http.NewRequest(http.MethodPost, f.Upstreams[0].URL()+"/call", bytes.NewReader([]byte(`{"body":{},"prior":null}`)))
		assert.NilError(b, err)
		req.Header.Set("Call-Key", "direct")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(b, err)
		_ = resp.Body.Close()
	}
	routed := func() {
		rep, err := Post(context.Background(), f.Routers[0].URL, Call{Key: "folders-key", Pipeline: "echo", Body: body})
		assert.NilError(b, err)
		assert.Assert(b, rep.Refusal == nil)
	}
	for range 100 {
		direct()
		routed()
	}
	var directTimes, routedTimes []time.Duration
	var directCPU, routedCPU time.Duration
	for b.Loop() {
		directTimes, directCPU = measure(direct, directTimes, directCPU)
		routedTimes, routedCPU = measure(routed, routedTimes, routedCPU)
	}
	slices.Sort(directTimes)
	slices.Sort(routedTimes)
	// quantileRatio returns the q-quantile of the routed latencies as a multiple of that of
	// the direct ones.
	quantileRatio := func(q float64) float64 {
		i := int(q * float64(len(directTimes)-1))
		return float64(routedTimes[i]) / float64(directTimes[i])
	}
	b.ReportMetric(quantileRatio(0.5), "p50-ratio")
	b.ReportMetric(quantileRatio(0.99), "p99-ratio")
	b.ReportMetric(float64(routedCPU)/float64(directCPU), "cpu-ratio")
	b.ReportMetric(float64(routedCPU.Microseconds())/float64(len(routedTimes)), "cpu-us/request")
}

// measure calls f and adds its duration to times and its CPU time to cpu.
func measure(f func(), times []time.Duration, cpu time.Duration) ([]time.Duration, time.Duration) {
	before, start := cpuTime(), time.Now()
	f()
	return append(times, time.Since(start)), cpu + cpuTime() - before
}

// cpuTime returns the CPU time of this process, which includes that of the fleet.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
