package once

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"hornbeamcove.example/core/wire"
)

// Maximum lengths in bytes of the parts of a token, as in the checks of package
// wire.
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

// formatToken returns the text form of a token, upstream:incarnation:serial.
func formatToken(u wire.UpstreamID, inc wire.Incarnation, serial uint64) wire.Token {
	return wire.Token(string(u) + ":" + string(inc) + ":" + strconv.FormatUint(serial, 10))
}

// Parse splits a token into its parts. The upstream may contain colons, the
// incarnation may not. Only the exact text that Reserve produces is accepted; the
// error names the invalid part.
func Parse(t wire.Token) (u wire.UpstreamID, inc wire.Incarnation, serial uint64, err error) {
	defer func() {
		if err != nil {
			u, inc, serial, err = "", "", 0, fmt.Errorf("parse token: %w", err)
		}
	}()
	rest, digits, ok := cutLastColon(string(t))
	if !ok {
		return u, inc, serial, errForm
	}
	upstream, incarnation, ok := cutLastColon(rest)
	if !ok {
		return u, inc, serial, errForm
	}
	if upstream == "" || len(upstream) > maxUpstreamBytes {
		return u, inc, serial, errUpstream
	}
	if incarnation == "" || len(incarnation) > maxIncarnationBytes {
		return u, inc, serial, errIncarnation
	}
	serial, err = strconv.ParseUint(digits, 10, 64)
	// Accepting a second spelling of a serial, such as 01 or +1, would let two
	// different tokens name one call.
	if err != nil || serial == 0 || strconv.FormatUint(serial, 10) != digits {
		return u, inc, serial, errSerial
	}
	return wire.UpstreamID(upstream), wire.Incarnation(incarnation), serial, nil
}

// cutLastColon splits s around its last colon.
func cutLastColon(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
