package conf

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

var secret = strings.Repeat("a1", 32)

var routerTOML = `name = "r1"
centre = "pa"
region = "west"
callers = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
platform = "http://127.0.0.1:80"
peers = ["r2=127.0.0.1:7", "r3=[::1]:8"]
secret = "` + secret + `"
queue = 9
[tls]
cert = "a.pem"
key = "b.pem"
authority = "c.pem"
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestLoadRouter guards against a wrong order of defaults, file and flags.
func TestLoadRouter(t *testing.T) {
	r, err := LoadRouter([]string{"-config", writeFile(t, routerTOML), "-queue", "7", "-tls.key", "d.pem"}, io.Discard)
	assert.NilError(t, err)
	assert.DeepEqual(t, r, Router{
		Name: "r1", Centre: "pa", Region: "west", Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0",
		Platform: "http://127.0.0.1:80", Peers: []string{"r2=127.0.0.1:7", "r3=[::1]:8"}, Secret: secret,
		Queue: 7, Flight: 4096, Drain: 30000, Linger: 1000, Level: "info", TLS: TLS{Cert: "a.pem", Key: "d.pem", Authority: "c.pem"},
	})
	name, addr, err := r.PeerAt(1)
	assert.NilError(t, err)
	assert.Assert(t, name == "r3" && addr == "[::1]:8")
}

// TestLoadAgent guards against an agent that can't be configured by flags alone.
func TestLoadAgent(t *testing.T) {
	a, err := LoadAgent([]string{
		"-name=a1", "-upstream=u1", "-centre=pa", "-kind=plain", "-listen=127.0.0.1:0", "-admin=127.0.0.1:0",
		"-url=http://127.0.0.1:1", "-tls.cert=a", "-tls.key=b", "-tls.authority=c", "-secret=" + secret, "-drain=0",
	}, io.Discard)
	assert.NilError(t, err)
	assert.Assert(t, a.Kind == wire.KindPlain && a.Drain == 0 && a.Level == LevelInfo)
}

// TestRefused guards against accepting an invalid setting and against errors that
// don't name the key, the value and the allowed range.
func TestRefused(t *testing.T) {
	for name, c := range map[string]struct {
		old, text string
		flags     []string
		want      []string
	}{
		"unknown key":       {"queue = 9", "queues = 9", nil, []string{"queues", "unknown key", "flight"}},
		"unknown nested":    {`key = "b.pem"`, `keys = "b.pem"`, nil, []string{"tls.keys", "unknown key"}},
		"range in file":     {"queue = 9", "queue = 1025", nil, []string{"queue", "1025", "1 to 1024"}},
		"range in flag":     {"", "", []string{"-flight=0"}, []string{"flight", "got 0", "1 to 4096"}},
		"no number in flag": {"", "", []string{"-queue=x"}, []string{"queue", `"x"`, "1 to 1024"}},
		"type in file":      {"queue = 9", `queue = "9"`, nil, []string{"queue", `"9"`, "1 to 1024"}},
		"scalar as table":   {"queue = 9", `queue = {a = 1}`, nil, []string{"queue", "1 to 1024"}},
		"missing":           {`centre = "pa"`, "", nil, []string{"centre", "no value", "text matching"}},
		"address":           {`peer = "127.0.0.1:0"`, `peer = "127.0.0.1:99999"`, nil, []string{"peer", "99999", "0 to 65535"}},
		"peer":              {"r3=[::1]:8", "r3=300.0.0.1:1", nil, []string{"peers.1", "300.0.0.1"}},
		"peer without name": {"r3=[::1]:8", "127.0.0.1:1", nil, []string{"peers.1", "127.0.0.1:1", "text matching"}},
		"level":             {"", "", []string{"-level=loud"}, []string{"level", "loud", "debug, info, warn, error"}},
		"URL":               {"http://127.0.0.1:80", "ftp://h", nil, []string{"platform", "ftp://h", "https?"}},
		"secret":            {secret, "open", nil, []string{"secret", "hidden value of 4 bytes", "[0-9a-f]{64}"}},
		"TOML":              {"queue = 9", "queue = = 9", nil, []string{"line"}},
		"unknown flag":      {"", "", []string{"-colour=red"}, []string{"colour"}},
		"argument":          {"", "", []string{"start"}, []string{"start", "flags only"}},
	} {
		t.Run(name, func(t *testing.T) {
			args := append([]string{"-config", writeFile(t, strings.Replace(routerTOML, c.old, c.text, 1))}, c.flags...)
			_, err := LoadRouter(args, io.Discard)
			for _, want := range c.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// TestHelp guards against -h without flag.ErrHelp or without usage.
func TestHelp(t *testing.T) {
	var out bytes.Buffer
	_, err := LoadRouter([]string{"-h"}, &out)
	assert.Assert(t, errors.Is(err, flag.ErrHelp))
	assert.Assert(t, strings.Contains(out.String(), "-tls.cert"))
}

// TestReference guards against a settings reference that differs from the schema.
func TestReference(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Reference(&out))
	committed, err := os.ReadFile("../../docs/settings.md")
	assert.NilError(t, err)
	assert.Equal(t, out.String(), string(committed))
}
