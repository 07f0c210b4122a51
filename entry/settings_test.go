package entry

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSettings guards against a router that doesn't start because the deployment fills in a
// number with a fraction, and against errors that don't say where the mistake is.
func TestSettings(t *testing.T) {
	data, err := os.ReadFile("../examples/entry.toml")
	assert.NilError(t, err)
	for _, tc := range []struct{ name, old, next, err string }{
		{name: "example"},
		{name: "scaled limits", old: "memory = 284\nfiles = 4096", next: "memory = 160.5\nfiles = 4100.0"},
		{name: "scaled slack", old: "slack = 50", next: "slack = 36.2"},
		{name: "whole ratio", old: "retries = 0.2", next: "retries = 1"},
		{name: "shares of teams", old: "slack", next: "shares = true\nslack"},
		{name: "processor share", old: "slack", next: "cores = 0.352\nslack"},
		{"negative processor share", "slack", "cores = -1\nslack", "cores must not be negative"},
		{"shares that are neither on nor off", "slack", "shares = 1\nslack", "shares"},
		{"negative slack", "slack = 50", "slack = -1", "retries and slack must not be negative"},
		{"text for a switch", "shed = true", `shed = "yes"`, "line 15: shed"},
		{"text for a number", "memory = 284", `memory = "284"`, "line 9: memory"},
		{"unreadable", "memory = 284", "memory 284", "line 9"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(string(data), tc.old))
			_, err := ParseSettings([]byte(strings.Replace(string(data), tc.old, tc.next, 1)))
			if tc.err == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, tc.err)
			}
		})
	}
}
