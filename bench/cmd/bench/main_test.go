package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRun guards against a page that is not written to the file or to the standard
// output, and against wrong arguments that are accepted.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, run(t.Context(), []string{"capacity", "-tiny", "-parts", "a"}, &out))
	assert.Assert(t, strings.HasPrefix(out.String(), "# Capacity"), out.String())

	out.Reset()
	file := filepath.Join(t.TempDir(), "page.md")
	assert.NilError(t, run(t.Context(), []string{"capacity", "-tiny", "-parts", "a", "-out", file}, &out))
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(data), "# Capacity"))
	assert.Equal(t, out.Len(), 0)

	assert.ErrorContains(t, run(t.Context(), []string{"capacity", "-parts", "z"}, &out), `part "z"`)
	assert.ErrorContains(t, run(t.Context(), nil, &out), "name a command")
}
