package hold

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

// TestMain fixes the seed of property tests. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

var (
	start = time.Unix(1_000, 0)
	ref1  = wire.Ref{Request: "r1", Stage: "s", Attempt: 1}
	ref2  = wire.Ref{Request: "r1", Stage: "s", Attempt: 2}
)

func chunk(n, size int) *wire.Chunk {
	return &wire.Chunk{Ref: ref1, Number: n, Data: make([]byte, size)}
}

func done(n int) *wire.Result {
	return &wire.Result{Ref: ref1, Chunks: n, Outcome: wire.OutcomeDone, Output: []byte("x")}
}

// TestEntry guards against lost, duplicate and truncated responses and those of
// another call. Each case runs on a table of 2 entries and 1,000 bytes. want lists
// what Next returns from chunk 0 on (d: data, R: result done, F: result failed,
// …: nothing yet, !: error), the number of entries and the last error.
func TestEntry(t *testing.T) {
	type table = Table
	for name, c := range map[string]struct {
		run  func(t *table, e *Entry) error
		want string
	}{
		"chunks": {func(_ *table, e *Entry) error {
			e.Append(chunk(0, 1))
			e.Append(chunk(1, 1))
			e.Finish(done(2))
			return nil
		}, "ddR 1 <nil>"},
		"open":            {func(_ *table, e *Entry) error { return e.Append(chunk(0, 1)) }, "d… 1 <nil>"},
		"duplicate chunk": {func(_ *table, e *Entry) error { e.Append(chunk(0, 1)); return e.Append(chunk(0, 1)) }, "d… 1 chunk number out of sequence"},
		"gap":             {func(_ *table, e *Entry) error { return e.Append(chunk(1, 1)) }, "… 1 chunk number out of sequence"},
		"after result":    {func(_ *table, e *Entry) error { e.Finish(done(0)); return e.Append(chunk(0, 1)) }, "R 1 entry already has its result"},
		"other call":      {func(_ *table, e *Entry) error { return e.Append(&wire.Chunk{Ref: ref2}) }, "… 1 chunk belongs to another call"},
		"over bytes":      {func(_ *table, e *Entry) error { e.Append(chunk(0, 500)); return e.Append(chunk(1, 309)) }, "d… 1 byte limit of the table exceeded"},
		"at bytes":        {func(_ *table, e *Entry) error { e.Append(chunk(0, 500)); return e.Append(chunk(1, 308)) }, "dd… 1 <nil>"},
		"second result":   {func(_ *table, e *Entry) error { e.Finish(done(0)); e.Finish(nil); return nil }, "R 1 <nil>"},
		"no result":       {func(_ *table, e *Entry) error { e.Finish(nil); return nil }, "F 1 <nil>"},
		"other result": {func(_ *table, e *Entry) error {
			e.Finish(&wire.Result{Ref: ref2, Outcome: wire.OutcomeDone})
			return nil
		}, "F 1 <nil>"},
		"missing chunk":   {func(_ *table, e *Entry) error { e.Append(chunk(0, 1)); e.Finish(done(2)); return nil }, "dF 1 <nil>"},
		"failure":         {func(_ *table, e *Entry) error { e.Append(chunk(0, 1)); e.Finish(&wire.Result{Ref: ref1}); return nil }, "dF 1 <nil>"},
		"ack":             {func(t *table, e *Entry) error { e.Finish(done(0)); t.Ack(ref1); return e.Append(chunk(0, 1)) }, "! 0 entry was acknowledged or has expired"},
		"ack of another":  {func(t *table, e *Entry) error { e.Finish(done(0)); t.Ack(ref2); return nil }, "R 1 <nil>"},
		"early ack":       {func(t *table, e *Entry) error { t.Ack(ref1); return e.Append(chunk(0, 1)) }, "d… 1 <nil>"},
		"early ack, done": {func(t *table, e *Entry) error { t.Ack(ref1); e.Finish(done(0)); return nil }, "! 0 <nil>"},
		"before expiry":   {func(t *table, e *Entry) error { return expire(t, Retention-1, 0) }, "… 1 <nil>"},
		"expiry":          {func(t *table, e *Entry) error { defer e.Finish(nil); return expire(t, Retention, 1) }, "! 0 <nil>"},
		"duplicate call":  {func(t *table, e *Entry) error { return begin(t, e, ref1, start, wire.ReasonMalformed) }, "… 1 <nil>"},
		"late call":       {func(t *table, _ *Entry) error { return begin(t, nil, ref2, start.Add(Retention), wire.ReasonDeadline) }, "… 1 <nil>"},
		"full bytes": {func(t *table, e *Entry) error {
			e.Append(chunk(0, 904))
			return begin(t, nil, ref2, start, wire.ReasonBusy)
		}, "d… 1 <nil>"},
		"full entries": {func(t *table, _ *Entry) error {
			t.Begin(start, ref2, start.Add(Retention))
			return begin(t, nil, wire.Ref{}, start, wire.ReasonBusy)
		}, "… 2 <nil>"},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(2, 1_000)
			e, _, ok := table.Begin(start, ref1, start.Add(Retention))
			assert.Assert(t, ok)
			err := c.run(table, e)
			for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
				err = inner
			}
			n, _ := table.Size()
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			assert.Equal(t, fmt.Sprintf("%s %d %v", replay(ctx, e, 0), n, err), c.want)
			table.Expire(start.Add(Retention))
			n, bytes := table.Size()
			assert.Equal(t, n+bytes, 0, "left in the table")
			assert.Assert(t, table.Find(ref1) == nil)
		})
	}
}

func begin(t *Table, want *Entry, ref wire.Ref, now time.Time, reason wire.Reason) error {
	e, got, ok := t.Begin(now, ref, start.Add(Retention))
	if ok || e != want || got != reason {
		return fmt.Errorf("unexpected result of Begin: %v %s %v", e, got, ok)
	}
	return nil
}

func expire(t *Table, after time.Duration, want int) error {
	if n := t.Expire(start.Add(after)); n != want {
		return fmt.Errorf("%d entries dropped", n)
	}
	return nil
}

// replay reads e from chunk n until the result, an error or the end of ctx. It
// returns one character per call of Next, as TestEntry describes, with ? for a
// result that does not fit.
func replay(ctx context.Context, e *Entry, n int) (got string) {
	for ; ; n++ {
		switch c, r, err := e.Next(ctx, n); {
		case c != nil && c.Number == n && c.Ref == e.Ref():
			got += "d"
		case errors.Is(err, context.Canceled):
			return got + "…"
		case err != nil:
			return got + "!"
		case r == nil || r.Ref != e.Ref() || r.Chunks != n:
			return got + "?"
		case r.Outcome == wire.OutcomeDone:
			return got + "R"
		default:
			return got + "F"
		}
	}
}

// TestReplay guards against lost, duplicate or reordered chunks and missed wake-ups
// when readers that start at any chunk run concurrently with the writer.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 40).Draw(t, "chunks")
		e, _, _ := NewTable(1, 1<<20).Begin(start, ref1, start.Add(Retention))
		starts := rapid.SliceOfN(rapid.IntRange(-1, total+1), 1, 6).Draw(t, "from")
		got := make([]string, len(starts))
		var wg sync.WaitGroup
		for i, from := range starts {
			wg.Go(func() { got[i] = replay(context.Background(), e, from) })
		}
		for n := range total {
			assert.NilError(t, e.Append(chunk(n, 1)))
		}
		e.Finish(done(total))
		wg.Wait()
		for i, from := range starts {
			want := "!"
			if from >= 0 && from <= total {
				want = strings.Repeat("d", total-from) + "R"
			}
			assert.Equal(t, got[i], want, "from %d", from)
		}
	})
}

// TestExpiryWakes guards against a reader that is never woken when its entry expires.
func TestExpiryWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(1, 1)
		e, _, _ := table.Begin(start, ref1, start.Add(Retention))
		got := make(chan string, 1)
		go func() { got <- replay(t.Context(), e, 0) }()
		synctest.Wait()
		table.Expire(start.Add(Retention))
		assert.Equal(t, <-got, "!")
	})
}

func BenchmarkAppendNextAck(b *testing.B) {
	t, c, r, ctx := NewTable(1_024, 16<<20), chunk(0, 40), done(1), context.Background()
	b.ReportAllocs()
	for b.Loop() {
		e, _, _ := t.Begin(start, ref1, start.Add(Retention))
		_ = e.Append(c)
		_, _, _ = e.Next(ctx, 0)
		e.Finish(r)
		t.Ack(ref1)
	}
}
