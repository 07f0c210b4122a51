package conf

import (
	"io"
	"testing"
)

// FuzzSettings checks that no settings file causes a panic, and that accepted
// settings have a name.
func FuzzSettings(f *testing.F) {
	f.Add(routerTOML)
	f.Add("name = 1\n[tls]\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := LoadRouter([]string{"-config", writeFile(t, text)}, io.Discard)
		if err == nil && r.Name == "" {
			t.Fatal("settings without a name were accepted")
		}
	})
}
