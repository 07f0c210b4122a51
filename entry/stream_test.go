package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// TestEventReader guards against a stream that ends within an event and is forwarded
// as complete.
func TestEventReader(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		events   []event
		end      error
	}{
		{"empty", "", nil, io.EOF},
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []event{
			{[]byte("id: 1\ndata: a\n\n"), 1, true}, {[]byte("id: 2\ndata: b\n\n"), 2, true},
		}, io.EOF},
		{"carriage returns", "id: 7\r\ndata: a\r\n\r\n", []event{{[]byte("id: 7\r\ndata: a\r\n\r\n"), 7, true}}, io.EOF},
		{"no id", "data: a\n\n", []event{{data: []byte("data: a\n\n")}}, io.EOF},
		{"a line of its own before the data", "weight-versions: 3\nid: 4\ndata: a\n\n", []event{
			{[]byte("weight-versions: 3\nid: 4\ndata: a\n\n"), 4, true},
		}, io.EOF},
		{"cut within a line", "id: 1\ndata: a\n\nid: 2\nda", []event{{[]byte("id: 1\ndata: a\n\n"), 1, true}}, io.ErrUnexpectedEOF},
		{"cut before the empty line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			er := &eventReader{r: bufio.NewReader(strings.NewReader(tc.in))}
			for _, want := range tc.events {
				ev, err := er.next()
				assert.NilError(t, err)
				assert.Equal(t, string(ev.data), string(want.data))
				assert.Equal(t, ev.id, want.id)
				assert.Equal(t, ev.hasID, want.hasID)
			}
			_, err := er.next()
			assert.Assert(t, errors.Is(err, tc.end), "got %v", err)
		})
	}
}

// TestBlankLines guards against an upstream that sends blank lines without end: they must not
// use memory without bound.
func TestBlankLines(t *testing.T) {
	events := &eventReader{r: bufio.NewReader(io.LimitReader(blankLines{}, 4*maxEventBytes))}
	_, err := events.next()
	assert.ErrorIs(t, err, errEventTooLarge)
}

// blankLines is an endless sequence of newlines.
type blankLines struct{}

func (blankLines) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '\n'
	}
	return len(p), nil
}

// TestLateStream guards against a stream that an upstream runs in vain: its stages have taken so long
// that by its length it can't end before its caller's deadline.
func TestLateStream(t *testing.T) {
	r := newRig(t)
	r.addReplica("e-1", "engine")
	archive := r.addReplica("a-1", "archive")
	cfg := r.settings("r1")
	cfg.Shed = true
	n := r.start(cfg)
	r.waitForUpstreams(n, 2)
	send := func(target, tokens, deadline string, status int, body string) call {
		c := post(planHost, target, "x")
		c.header = http.Header{site.HeaderLengthHint: {tokens}, site.HeaderDeadline: {deadline}, "Piece-Count": {"1"}, "Piece-Key": {"k"}}
		n.assertStatus(t, c, status, body)
		return c
	}
	for i := range 5 {
		c := send(fmt.Sprint("/once/", i), "6", "9000", http.StatusOK, "")
		r.assertRuns(c.id, 1)
	}
	archive.ServiceTime = 1200 * time.Millisecond
	long := send("/once/long", "60000", "2000", http.StatusServiceUnavailable, "stream would be late\n")
	r.assertRuns(long.id, 0)
	short := send("/once/short", "6", "2000", http.StatusOK, streamBody("/once/short", 6))
	r.assertRuns(short.id, 1)
}
