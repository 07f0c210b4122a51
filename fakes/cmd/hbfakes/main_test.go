package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRun guards against a SIGHUP that does not publish new tickets, a stand-in that does not
// answer at the printed address, and invalid arguments that are accepted.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	writeTicket := func(name, data string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600))
	}
	writeTicket("1.json", `{"number":1,"objects":[]}`)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out, w := io.Pipe()
	hup := make(chan os.Signal, 1)
	done := make(chan error, 1)
	go func() {
		done <- run(ctx, []string{
			"-config", "127.0.0.1:0", "-tickets", dir, "-engine", "127.0.0.1:0,127.0.0.1:0",
			"-plain", "127.0.0.1:0", "-weights", "127.0.0.1:0", "-hosts", "127.0.0.1:0",
		}, w, io.Discard, hup)
		w.Close()
	}()
	lines := bufio.NewScanner(out)
	nextLine := func() (kind, value string) {
		assert.Assert(t, lines.Scan())
		kind, value, _ = strings.Cut(lines.Text(), " ")
		return kind, value
	}
	addrs := map[string]string{}
	for _, want := range []string{"weights", "config", "hosts", "engine", "engine", "plain"} {
		kind, addr := nextLine()
		assert.Equal(t, kind, want)
		addrs[kind] = addr
	}
	writeTicket("2.json", `{"number":2,"objects":[]}`)
	hup <- syscall.SIGHUP
	kind, index := nextLine()
	assert.Equal(t, kind+" "+index, "loaded 2")
	for kind, path := range map[string]string{"config": "/v1/tickets", "hosts": "/v1/hosts", "engine": "/load", "plain": "/record"} {
		resp, err := http.Get("http://" + addrs[kind] + path)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, 200, kind)
	}
	cancel()
	assert.NilError(t, <-done)
	for _, args := range [][]string{{}, {"-engine", "nowhere"}, {"stray"}} {
		assert.Assert(t, run(t.Context(), args, io.Discard, io.Discard, nil) != nil)
	}
}
