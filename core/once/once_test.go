package once

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

// TestMain fixes the seed of property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// TestUses checks the answer of Consume after each sequence of calls. In a script
// c consumes with fingerprint p, x consumes with another fingerprint, f finishes
// with a result, n finishes without one, r returns the token, and w waits for the
// channel of the last Consume.
func TestUses(t *testing.T) {
	for script, want := range map[string]string{
		"c": Fresh, "cc": Running, "cfc": Finished, "cnc": Spent, "crc": Fresh, "crx": Mismatch, "cx": Mismatch, "cfx": Mismatch,
		"f c": Fresh, "r c": Fresh, "cf r c": Finished, "cf n c": Finished, "cn r c": Spent, "cr f c": Fresh,
		"ccfwc": Finished, "ccrwc": Fresh, "ccnwc": Spent, "crcc": Running,
	} {
		t.Run(script, func(t *testing.T) {
			s := NewStore("u", "i")
			token, r := s.Reserve(), &wire.Result{Chunks: 7}
			var got ConsumeResult
			for _, step := range script {
				switch step {
				case 'c':
					got = s.Consume(token, "p")
				case 'x':
					got = s.Consume(token, "other")
				case 'f':
					s.Finish(token, r)
				case 'n':
					s.Finish(token, nil)
				case 'r':
					s.Return(token)
				case 'w':
					<-got.Wait
				}
			}
			assert.Equal(t, got.State, want)
			assert.Equal(t, got.Result == r, want == Finished)
			assert.Equal(t, got.Wait != nil, want == Running)
		})
	}
}

// TestTokens guards against malformed tokens being parsed and against running a
// token that this run of the agent did not issue.
func TestTokens(t *testing.T) {
	s, u, inc := NewStore("a:b", "i"), strings.Repeat("u", 64), strings.Repeat("i", 36)
	s.Reserve()
	for token, want := range map[string]error{
		"a:b:i:1": nil, "a:b:i:2": nil, "a:b:j:1": nil, "a:i:1": nil, u + ":" + inc + ":18446744073709551615": nil,
		"": errForm, "1": errForm, "i:1": errForm, ":i:1": errUpstream, u + "u:i:1": errUpstream, "a::1": errIncarnation, "a:i" + inc + ":1": errIncarnation,
		"a:b:i:": errSerial, "a:b:i:0": errSerial, "a:b:i:01": errSerial, "a:b:i:+1": errSerial, "a:b:i:18446744073709551616": errSerial,
	} {
		_, _, _, err := Parse(wire.Token(token))
		assert.ErrorIs(t, err, want, "%q", token)
		state, ok := map[string]string{"a:b:i:1": Fresh, "a:b:i:2": Spent}[token]
		assert.Equal(t, s.Consume(wire.Token(token), "p").State == state, ok, "%q", token)
		assert.Equal(t, s.Consume(wire.Token(token), "p").State == Foreign, !ok, "%q", token)
	}
}

// TestBounds guards against growth beyond the limits and against running an
// evicted token.
func TestBounds(t *testing.T) {
	s := NewStore("u", "i")
	runToEnd := func(token wire.Token, r *wire.Result) {
		assert.Equal(t, s.Consume(token, "p").State, Fresh)
		s.Finish(token, r)
	}
	oldest, second := s.Reserve(), s.Reserve()
	for range MaxUnused - 1 {
		s.Reserve()
	}
	assert.Equal(t, s.Consume(oldest, "p").State, Spent)
	runToEnd(second, &wire.Result{Output: make([]byte, MaxResultBytes/2)})
	runToEnd(s.Reserve(), &wire.Result{Output: make([]byte, MaxResultBytes/2)})
	assert.Equal(t, s.Consume(second, "p").State, Spent)
	assert.Assert(t, s.resultBytes <= MaxResultBytes)
	for range MaxResults {
		assert.Equal(t, s.Consume(s.Reserve(), "p").State, Fresh)
	}
	last := s.Reserve()
	assert.Equal(t, s.Consume(last, "p").State, Spent)
	s.Finish(formatToken("u", "i", MaxUnused+3), nil) // the first token reserved after the two results; still running
	runToEnd(last, &wire.Result{})
	unused, running, results := s.Len()
	assert.DeepEqual(t, []int{unused, running, results, s.resultBytes}, []int{MaxUnused - 1, MaxResults - 1, 1, (&wire.Result{}).Msgsize()})
	assert.Equal(t, s.Evicted(), Evicted{Unused: 1, Results: 2})
}

// TestRunsOnce guards against two runs of one token when goroutines concurrently
// reserve, consume, finish and return tokens and exceed the limits of the store.
// Each step is the index of a token times 8, plus the action that ends its run: 1
// to 3 return the token, 4 and 5 finish without a result, the others with one.
func TestRunsOnce(t *testing.T) {
	big := make([]byte, MaxResultBytes)
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore("u", "i")
		tokens := make([]wire.Token, rapid.IntRange(1, 4).Draw(t, "tokens"))
		for i := range tokens {
			tokens[i] = s.Reserve()
		}
		runs, active := make([]atomic.Int32, len(tokens)), make([]atomic.Int32, len(tokens))
		stepsGen := rapid.SliceOfN(rapid.IntRange(0, 8*len(tokens)-1), 0, 60)
		exceedUnused := rapid.IntRange(0, 50).Draw(t, "flood") == 0
		var failed atomic.Value
		var overflow sync.Once
		var wg sync.WaitGroup
		for range 4 {
			steps := stepsGen.Draw(t, "steps")
			wg.Go(func() {
				for _, step := range steps {
					i, action := step/8, step%8
					if action == 0 && exceedUnused {
						overflow.Do(func() {
							for range MaxUnused {
								s.Reserve()
							}
						})
					}
					if s.Consume(tokens[i], "p").State != Fresh {
						continue
					}
					if active[i].Add(1) != 1 || runs[i].Load() > 0 {
						failed.Store(fmt.Sprintf("token %d was run more than once", i))
					}
					if action > 3 {
						runs[i].Add(1)
					}
					runtime.Gosched()
					active[i].Add(-1)
					switch action {
					case 1, 2, 3:
						s.Return(tokens[i])
					case 4, 5:
						s.Finish(tokens[i], nil)
					default:
						s.Finish(tokens[i], &wire.Result{Output: big[:action*MaxResultBytes/7]})
					}
				}
			})
		}
		wg.Wait()
		assert.Assert(t, failed.Load() == nil, "%v", failed.Load())
	})
}

func FuzzParse(f *testing.F) {
	f.Add("u:i:1")
	f.Add("a:b:i:18446744073709551615")
	f.Fuzz(func(t *testing.T, s string) {
		u, inc, serial, err := Parse(wire.Token(s))
		if err == nil {
			assert.Equal(t, string(formatToken(u, inc, serial)), s)
		}
	})
}

func BenchmarkReserveConsumeFinish(b *testing.B) {
	store, r := NewStore("upstream-1", "incarnation-1"), &wire.Result{Output: make([]byte, 200)}
	b.ReportAllocs()
	for b.Loop() {
		t := store.Reserve()
		store.Consume(t, "p")
		store.Finish(t, r)
	}
}
