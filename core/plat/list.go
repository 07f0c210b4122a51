package plat

import (
	"bytes"
	"errors"
	"net"
	"strconv"

	"hornbeamcove.example/core/wire"
)

var errNoList = errors.New("answer holds no list")

// listEntries returns the entries of the list with the given name in a JSON object, each
// still encoded. It decodes none, so that one entry that can't be decoded, for instance
// because it is nested too deeply, doesn't spoil the others.
func listEntries(doc []byte, name string) (entries [][]byte, err error) {
	depth, start := 0, -1 // start is that of the entry, -1 outside of the list
	var key []byte
	for i := 0; i < len(doc); i++ {
		switch doc[i] {
		case '"':
			end := stringEnd(doc, i)
			if end < 0 {
				return nil, errNoList
			}
			if depth == 1 {
				key = doc[i+1 : end]
			}
			i = end
		case '{', '[':
			depth++
			if depth == 2 && doc[i] == '[' && string(key) == name {
				start = i + 1
			}
		case '}', ']':
			depth--
			if depth == 1 && start >= 0 {
				if last := bytes.TrimSpace(doc[start:i]); len(last) > 0 {
					entries = append(entries, last)
				}
				return entries, nil
			}
		case ',':
			if depth == 2 && start >= 0 {
				entries = append(entries, bytes.TrimSpace(doc[start:i]))
				start = i + 1
			}
		}
	}
	return nil, errNoList
}

// stringEnd returns the index of the quote that ends the JSON string which begins at i, or -1.
func stringEnd(doc []byte, i int) int {
	for i++; i < len(doc); i++ {
		switch doc[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}

// validAddress reports whether an address is empty or has a port between 1 and 65535.
func validAddress(a wire.Address) bool {
	if a == "" {
		return true
	}
	_, port, err := net.SplitHostPort(string(a))
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
