package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines limits the log lines that wait to be written.
	maxQueuedLines = 2048
	// maxLinesPerSecond and lineBurst are the rate and burst of the log's token bucket.
	maxLinesPerSecond = 400
	lineBurst         = 800
	// dropReportInterval is how often the number of discarded lines is reported.
	dropReportInterval = time.Second
)

// lossyWriter forwards log lines to a writer that may block. Lines over the rate limit
// or the queue's capacity are discarded and counted, so that logging never delays a
// request. It is safe for concurrent use.
type lossyWriter struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

func newLossyWriter(out io.Writer) *lossyWriter {
	return &lossyWriter{out: out, lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(maxLinesPerSecond, lineBurst)}
}

// Write implements io.Writer. Each call must pass one line. It never blocks or fails.
func (l *lossyWriter) Write(b []byte) (int, error) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return len(b), nil
	}
	select {
	case l.lines <- bytes.Clone(b):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// run writes lines until ctx is done, and then flushes the queue.
func (l *lossyWriter) run(ctx context.Context) {
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case b := <-l.lines:
			_, _ = l.out.Write(b) // a failure to log can't be logged
		case <-tick.C:
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *lossyWriter) flush() {
	for {
		select {
		case b := <-l.lines:
			_, _ = l.out.Write(b)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *lossyWriter) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.out, "{\"time\":%q,\"level\":\"warn\",\"msg\":\"log lines discarded\",\"lines\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
}
