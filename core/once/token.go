package once

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"hornbeamcove.example/core/wire"
)

// Bounds in bytes of a token's parts, equal to those of the wire checks.
const (
	maxUpstreamBytes    = 64
	maxIncarnationBytes = 36
)

var (
	errForm        = errors.New("not of the form upstream:incarnation:serial")
	errUpstream    = errors.New("upstream is empty or too long")
	errIncarnation = errors.New("incarnation is empty or too long")
	errSerial      = errors.New("serial is not a canonical positive number")
)

func formatToken(u wire.UpstreamID, inc wire.Incarnation, serial uint64) wire.Token {
	return wire.Token(string(u) + ":" + string(inc) + ":" + strconv.FormatUint(serial, 10))
}

// Parse splits a token into its parts. The upstream may contain colons, the
// incarnation may not. Only the exact text that Reserve produces is accepted;
// the error names the part that is wrong.
func Parse(t wire.Token) (u wire.UpstreamID, inc wire.Incarnation, serial uint64, err error) {
	defer func() {
		if err != nil {
			u, inc, serial, err = "", "", 0, fmt.Errorf("parse token: %w", err)
		}
	}()
	head, digits, ok := cutLastColon(string(t))
	if !ok {
		return u, inc, serial, errForm
	}
	name, run, ok := cutLastColon(head)
	if !ok {
		return u, inc, serial, errForm
	}
	if name == "" || len(name) > maxUpstreamBytes {
		return u, inc, serial, errUpstream
	}
	if run == "" || len(run) > maxIncarnationBytes {
		return u, inc, serial, errIncarnation
	}
	serial, err = strconv.ParseUint(digits, 10, 64)
	// Two texts of one serial would make equality of tokens unreliable.
	if err != nil || serial == 0 || strconv.FormatUint(serial, 10) != digits {
		return u, inc, serial, errSerial
	}
	return wire.UpstreamID(name), wire.Incarnation(run), serial, nil
}

func cutLastColon(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
