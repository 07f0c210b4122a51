package framer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const (
	post    = "POST /a HTTP/1.1\r\nHost: h\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

var requests = []struct {
	name, text string
	err        error
}{
	{"no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", nil},
	{"bare line feeds", "GET /a HTTP/1.1\nHost: h\n\n", nil},
	{"HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", nil},
	{"length", post + "Content-Length: 5\r\n\r\nhello", nil},
	{"length of nothing", post + "content-length:0\r\n\r\n", nil},
	{"chunks", post + chunked + "5\r\nhello\r\n0A;a=b\r\n0123456789\r\n0\r\n\r\n", nil},
	{"chunks with a trailer", post + "Transfer-Encoding: Chunked \r\n\r\n0\r\nAfter: b\r\n\r\n", nil},
	{"line that only resembles a header", post + "Content-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", nil},
	{"length and chunks", post + "Content-Length: 5\r\n" + chunked, ErrBothLengths},
	{"chunks and length", post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", ErrBothLengths},
	{"coding in HTTP/1.0", "POST /a HTTP/1.0\r\n" + chunked, ErrVersion},
	{"other coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", ErrCoding},
	{"two codings", post + "Transfer-Encoding: chunked\r\n" + chunked, ErrCoding},
	{"two lengths", post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", ErrLengths},
	{"signed length", post + "Content-Length: +5\r\n\r\n", ErrLength},
	{"empty length", post + "Content-Length:\r\n\r\n", ErrLength},
	{"huge length", post + "Content-Length: 9999999999999999999\r\n\r\n", ErrLength},
	{"folded header", post + "Other: a\r\n b\r\n\r\n", ErrFolded},
	{"chunk size in C style", post + chunked + "0x5\r\n", ErrChunk},
	{"no chunk size", post + chunked + ";a\r\n", ErrChunk},
	{"huge chunk", post + chunked + "ffffffffffffffff\r\n", ErrChunk},
	{"bare line feed after a chunk size", post + chunked + "0\n", ErrChunk},
	{"carriage return in a chunk extension", post + chunked + "0;a\rb\r\n", ErrChunk},
	{"chunk longer than its size", post + chunked + "1\r\nab\r\n", ErrChunk},
	{"bare line feed in a trailer", post + chunked + "0\r\nAfter: b\n\r\n", ErrChunk},
	{"long line", "GET /" + strings.Repeat("a", maxLineBytes), ErrLine},
	{"long chunk line", post + chunked + "0;" + strings.Repeat("a", maxChunkLineBytes), ErrLine},
}

// TestRequests guards against a request whose end is taken for another place than a server takes
// it, and against one with an ambiguous end that is passed on, however its bytes arrive.
func TestRequests(t *testing.T) {
	for _, tc := range requests {
		for _, size := range []int{1, 2, 7, len(tc.text)} {
			var r Requests
			passed, text := 0, tc.text
			var err error
			for err == nil && text != "" {
				var n int
				part := text[:min(size, len(text))]
				n, err = r.Scan([]byte(part))
				text = text[len(part):]
				passed += n
			}
			assert.ErrorIs(t, err, tc.err, "%s, %d bytes at a time", tc.name, size)
			if err == nil {
				assert.Equal(t, r.state, inRequestLine, "%s, %d bytes at a time", tc.name, size)
				continue
			}
			assert.Assert(t, passed < len(tc.text), "%s: the whole request was passed on", tc.name)
			n, again := r.Scan([]byte("GET / HTTP/1.1\r\n\r\n"))
			assert.Assert(t, n == 0 && again == err, "%s: %d bytes were passed on after the error", tc.name, n)
		}
	}
}

// TestRequestHeads guards against a head whose size is counted with that of the body or of other
// requests on the connection, however its bytes arrive.
func TestRequestHeads(t *testing.T) {
	for _, tc := range requests {
		if tc.err != nil {
			continue
		}
		head, _, crlf := strings.Cut(tc.text, "\r\n\r\n")
		if head += "\r\n\r\n"; !crlf {
			head = tc.text
		}
		for _, size := range []int{1, 7, 3 * len(tc.text)} {
			var r Requests
			for part := range slices.Chunk([]byte(strings.Repeat(tc.text, 3)), size) {
				_, err := r.Scan(part)
				assert.NilError(t, err)
			}
			assert.Equal(t, r.HeadBytes, len(head), "%s, %d bytes at a time", tc.name, size)
			assert.Equal(t, r.HeadLines, strings.Count(head, "\n"), "%s, %d bytes at a time", tc.name, size)
		}
	}
}

// TestResponseHead guards against a response with an ambiguous end that is accepted, against one
// that is rejected for the text of its body, and against a head whose size is miscounted, however
// its bytes arrive.
func TestResponseHead(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	for _, tc := range []struct {
		name, head, body string
		lines            int
		err              error
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "hello", 3, nil},
		{"chunks", "HTTP/1.1 200 OK\r\n" + chunked, "0\r\n\r\n", 3, nil},
		{"neither", "HTTP/1.1 200 OK\n\n", "Transfer-Encoding: chunked\nContent-Length: 5\n", 2, nil},
		{"folded header", "HTTP/1.1 200 OK\r\nOther: a\r\n Content-Length: 5\r\n" + chunked, "", 5, nil},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", "", 2, nil},
		{"both", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + chunked, "", 4, ErrBothLengths},
		{"both, the coding folded", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", "", 5, ErrBothLengths},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunked, "", 3, ErrVersion},
		{"informational", early + "HTTP/1.1  100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "1\n2\n", 7, nil},
		{"informational, both", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n" + chunked + "HTTP/1.1 200 OK\r\n\r\n", "", 6, ErrBothLengths},
		{"empty status line", "\r\n", "HTTP/1.1 200 OK\r\n\r\n", 1, nil},
	} {
		for _, size := range []int{1, 2, 7, len(tc.head) + len(tc.body)} {
			var r ResponseHead
			n := 0
			for part := range slices.Chunk([]byte(tc.head+tc.body), size) {
				n += r.Scan(part)
			}
			assert.ErrorIs(t, r.Err(), tc.err, "%s, %d bytes at a time", tc.name, size)
			assert.Assert(t, r.Ended(), "%s, %d bytes at a time", tc.name, size)
			assert.DeepEqual(t, []int{n, r.Bytes, r.Lines}, []int{len(tc.head), len(tc.head), tc.lines})
		}
	}
}

// FuzzRequests guards against a server that finds the end of a request that was passed on at
// another place.
func FuzzRequests(f *testing.F) {
	for _, a := range requests {
		for _, b := range requests {
			if len(a.text)+len(b.text) < 1000 {
				f.Add([]byte(a.text + b.text))
			}
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		passed, _ := new(Requests).Scan(text)
		src := bytes.NewReader(text[:passed])
		br := bufio.NewReader(iotest.DataErrReader(src))
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err = io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			end := passed - src.Len() - br.Buffered()
			var r Requests
			n, err := r.Scan(text[:end])
			if n != end || err != nil || r.state != inRequestLine || len(r.line) > 0 {
				t.Fatalf("the server ends a request after %q, where Scan is in state %d after %d bytes: %v", text[:end], r.state, n, err)
			}
		}
	})
}

// TestListener guards against a server that runs a request after one that was rejected, does not
// answer the rejected one, or loses that answer because bytes of the caller are left unread.
func TestListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rejected := make(chan error, 1)
	served := make(chan string, 9)
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path })}
	go func() { _ = srv.Serve(Listener{Listener: ln, Rejected: func(err error) { rejected <- err }}) }()
	defer srv.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, post+"Content-Length: 5\r\n\r\nhello"+"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"+chunked+"0\r\n\r\n"+
		"GET /c HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("x", 32<<10))
	assert.NilError(t, err)
	br := bufio.NewReader(c)
	for _, want := range []int{http.StatusOK, http.StatusBadRequest} {
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
	_, err = br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.ErrorIs(t, <-rejected, ErrBothLengths)
	assert.Equal(t, <-served, "/a")
	assert.Equal(t, len(served), 0)
}

// meter refuses heads of more than 3 lines.
type meter struct{ released chan struct{} }

func (m meter) Grow(_, lines int) []byte {
	if lines > 3 {
		return []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
	return nil
}

func (m meter) Release() { m.released <- struct{}{} }

// TestMeter guards against a request that is served although its head was refused, against a second
// answer to it or none, and against memory that is not given back.
func TestMeter(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := meter{make(chan struct{}, 9)}
	served := make(chan string, 9)
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path })}
	go func() { _ = srv.Serve(Listener{Listener: ln, NewMeter: func() Meter { return m }}) }()
	defer srv.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	for _, tc := range []struct {
		text   string
		status int
	}{{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK}, {"GET /b HTTP/1.1\r\nHost: h\r\nA: b\r\n" + strings.Repeat("C: d\r\n", 10000) + "\r\n", http.StatusServiceUnavailable}} {
		_, err = io.WriteString(c, tc.text)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, tc.status)
	}
	_, err = br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, <-served, "/a")
	assert.Equal(t, len(served), 0)
	<-m.released
}

// TestEarlyAnswer guards against a connection that is reset when a request is answered before its
// body was read, so that the caller, who still writes, doesn't get the answer.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })}
	go func() { _ = srv.Serve(Listener{Listener: ln}) }()
	defer srv.Close()
	body := strings.Repeat("x", 1<<20)
	for name, head := range map[string]string{
		"kept":              "Content-Length: 1048576\r\n\r\n",
		"closed":            "Connection: close\r\nContent-Length: 1048576\r\n\r\n",
		"closed, in chunks": "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				c, err := net.Dial("tcp", ln.Addr().String())
				assert.NilError(t, err)
				_, err = io.WriteString(c, post+head+body)
				assert.NilError(t, err)
				br := bufio.NewReader(c)
				resp, err := http.ReadResponse(br, nil)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				_, err = br.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
				assert.NilError(t, c.Close())
			}
		})
	}
}
