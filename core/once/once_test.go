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

// TestUses guards against a wrong answer for a token after each history. In a
// script c consumes for print p, x for another print, f finishes, n finishes
// with no result, r returns, w expects Wait of the last use to be closed.
func TestUses(t *testing.T) {
	for script, want := range map[string]string{
		"c": Fresh, "cc": Running, "cfc": Finished, "cnc": Spent, "crc": Fresh, "crx": Mismatch, "cx": Mismatch, "cfx": Mismatch,
		"f c": Fresh, "r c": Fresh, "cf r c": Finished, "cf n c": Finished, "cn r c": Spent, "cr f c": Fresh,
		"ccfwc": Finished, "ccrwc": Fresh, "ccnwc": Spent, "crcc": Running,
	} {
		t.Run(script, func(t *testing.T) {
			b := NewStore("u", "i")
			token, r := b.Reserve(), &wire.Result{Chunks: 7}
			var use ConsumeResult
			for _, step := range script {
				switch step {
				case 'c':
					use = b.Consume(token, "p")
				case 'x':
					use = b.Consume(token, "other")
				case 'f':
					b.Finish(token, r)
				case 'n':
					b.Finish(token, nil)
				case 'r':
					b.Return(token)
				case 'w':
					<-use.Wait
				}
			}
			assert.Equal(t, use.State, want)
			assert.Equal(t, use.Result == r, want == Finished)
			assert.Equal(t, use.Wait != nil, want == Running)
		})
	}
}

// TestTokens guards against running a token that this run didn't issue.
func TestTokens(t *testing.T) {
	b, u, inc := NewStore("a:b", "i"), strings.Repeat("u", 64), strings.Repeat("i", 36)
	b.Reserve()
	for token, want := range map[string]error{
		"a:b:i:1": nil, "a:b:i:2": nil, "a:b:j:1": nil, "a:i:1": nil, u + ":" + inc + ":18446744073709551615": nil,
		"": errForm, "1": errForm, "i:1": errForm, ":i:1": errUpstream, u + "u:i:1": errUpstream, "a::1": errIncarnation, "a:i" + inc + ":1": errIncarnation,
		"a:b:i:": errSerial, "a:b:i:0": errSerial, "a:b:i:01": errSerial, "a:b:i:+1": errSerial, "a:b:i:18446744073709551616": errSerial,
	} {
		_, _, _, err := Parse(wire.Token(token))
		assert.ErrorIs(t, err, want, "%q", token)
		state, ok := map[string]string{"a:b:i:1": Fresh, "a:b:i:2": Spent}[token]
		assert.Equal(t, b.Consume(wire.Token(token), "p").State == state, ok, "%q", token)
		assert.Equal(t, b.Consume(wire.Token(token), "p").State == Foreign, !ok, "%q", token)
	}
}

// TestBounds guards against unbounded tables and against running a dropped token.
func TestBounds(t *testing.T) {
	b := NewStore("u", "i")
	run := func(token wire.Token, r *wire.Result) {
		assert.Equal(t, b.Consume(token, "p").State, Fresh)
		b.Finish(token, r)
	}
	oldest, next := b.Reserve(), b.Reserve()
	for range MaxUnused - 1 {
		b.Reserve()
	}
	assert.Equal(t, b.Consume(oldest, "p").State, Spent)
	run(next, &wire.Result{Output: make([]byte, MaxResultBytes/2)})
	run(b.Reserve(), &wire.Result{Output: make([]byte, MaxResultBytes/2)})
	assert.Equal(t, b.Consume(next, "p").State, Spent)
	assert.Assert(t, b.resultBytes <= MaxResultBytes)
	for range MaxResults {
		assert.Equal(t, b.Consume(b.Reserve(), "p").State, Fresh)
	}
	last := b.Reserve()
	assert.Equal(t, b.Consume(last, "p").State, Spent)
	b.Finish(formatToken("u", "i", MaxUnused+3), nil) // runs since the first token after the two results
	run(last, &wire.Result{})
	unused, running, results := b.Len()
	assert.DeepEqual(t, []int{unused, running, results, b.resultBytes}, []int{MaxUnused - 1, MaxResults - 1, 1, (&wire.Result{}).Msgsize()})
	assert.Equal(t, b.Evicted(), Evicted{Unused: 1, Results: 2})
}

// TestRunsOnce guards against two runs of one token under goroutines that
// reserve, consume, finish, return and overflow the tables.
func TestRunsOnce(t *testing.T) {
	big := make([]byte, MaxResultBytes)
	rapid.Check(t, func(t *rapid.T) {
		b := NewStore("u", "i")
		tokens := make([]wire.Token, rapid.IntRange(1, 4).Draw(t, "tokens"))
		for i := range tokens {
			tokens[i] = b.Reserve()
		}
		runs, active := make([]atomic.Int32, len(tokens)), make([]atomic.Int32, len(tokens))
		step := rapid.SliceOfN(rapid.IntRange(0, 8*len(tokens)-1), 0, 60)
		flood := rapid.IntRange(0, 50).Draw(t, "flood") == 0
		var failed atomic.Value
		var overflow sync.Once
		var wg sync.WaitGroup
		for range 4 {
			steps := step.Draw(t, "steps")
			wg.Go(func() {
				for _, s := range steps {
					i, action := s/8, s%8
					if action == 0 && flood {
						overflow.Do(func() {
							for range MaxUnused {
								b.Reserve()
							}
						})
					}
					if b.Consume(tokens[i], "p").State != Fresh {
						continue
					}
					if active[i].Add(1) != 1 || runs[i].Load() > 0 {
						failed.Store(fmt.Sprintf("token %d given out again", i))
					}
					if action > 3 {
						runs[i].Add(1)
					}
					runtime.Gosched()
					active[i].Add(-1)
					switch action {
					case 1, 2, 3:
						b.Return(tokens[i])
					case 4, 5:
						b.Finish(tokens[i], nil)
					default:
						b.Finish(tokens[i], &wire.Result{Output: big[:action*MaxResultBytes/7]})
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
	book, r := NewStore("upstream-1", "incarnation-1"), &wire.Result{Output: make([]byte, 200)}
	b.ReportAllocs()
	for b.Loop() {
		t := book.Reserve()
		book.Consume(t, "p")
		book.Finish(t, r)
	}
}
