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

// echoSpec is a fleet with one service that answers at once.
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

// BenchmarkAddedLatency calls a stand-in directly and through router and agent in
// turn, and reports the ratios of latencies and the CPU time of a request.
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
	through := func() {
		rep, err := Post(context.Background(), f.Routers[0].URL, Call{Key: "folders-key", Pipeline: "echo", Body: body})
		assert.NilError(b, err)
		assert.Assert(b, rep.Refusal == nil)
	}
	for range 100 {
		direct()
		through()
	}
	var near, far []time.Duration
	var cpuNear, cpuFar time.Duration
	for b.Loop() {
		near, cpuNear = timed(direct, near, cpuNear)
		far, cpuFar = timed(through, far, cpuFar)
	}
	slices.Sort(near)
	slices.Sort(far)
	quantile := func(q float64) float64 {
		i := int(q * float64(len(near)-1))
		return float64(far[i]) / float64(near[i])
	}
	b.ReportMetric(quantile(0.5), "p50-ratio")
	b.ReportMetric(quantile(0.99), "p99-ratio")
	b.ReportMetric(float64(cpuFar)/float64(cpuNear), "cpu-ratio")
	b.ReportMetric(float64(cpuFar.Microseconds())/float64(len(far)), "cpu-us/request")
}

func timed(f func(), took []time.Duration, cpu time.Duration) ([]time.Duration, time.Duration) {
	before, begun := cpuTime(), time.Now()
	f()
	return append(took, time.Since(begun)), cpu + cpuTime() - before
}

// cpuTime is the processor time of this process, in which the fleet runs too.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
