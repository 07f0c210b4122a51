package admin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	// MaxLimit bounds the entries of one response; DefaultLimit applies when a
	// request sets none.
	MaxLimit     = 1000
	DefaultLimit = 100
	maxAfterLen  = 1024 // bytes
)

// ResponseInfo identifies the process that answered and the time of the response.
type ResponseInfo struct {
	Process wire.HostID `json:"process"`
	At      time.Time   `json:"at"`
}

// Page describes the part of a list that a response holds.
type Page struct {
	// Total counts the entries of the whole list that match the filter.
	Total int `json:"total"`
	// Truncated is set when entries after the last one here were left out; Next is
	// then the value of the parameter after that requests the next page.
	Truncated bool   `json:"cut"`
	Next      string `json:"next,omitempty"`
}

// PageRequest selects at most Limit entries of a list, after the entry with the key
// After.
type PageRequest struct {
	Limit int
	After string
}

// ParamFunc returns the value of a query parameter, or an empty string.
type ParamFunc func(name string) string

// ParamError is the error for an invalid query parameter. Want describes the allowed
// values.
type ParamError struct{ Name, Value, Want string }

// Error implements error.
func (e *ParamError) Error() string {
	return fmt.Sprintf("parameter %s: got %.80q, want %s", e.Name, e.Value, e.Want)
}

// ParsePageRequest parses the parameters limit and after.
func ParsePageRequest(param ParamFunc) (r PageRequest, err error) {
	r = PageRequest{DefaultLimit, strings.Clone(param("after"))}
	if len(r.After) > maxAfterLen {
		return r, &ParamError{"after", r.After, "the value of next in the answer before"}
	}
	if s := param("limit"); s != "" {
		if r.Limit, err = strconv.Atoi(s); err != nil || r.Limit < 1 || r.Limit > MaxLimit {
			return r, &ParamError{"limit", s, fmt.Sprintf("1 to %d", MaxLimit)}
		}
	}
	return r, nil
}

// Paginate returns the part of a list that r selects, in the order of key, which
// must be distinct for each entry.
func Paginate[T any](all []T, r PageRequest, key func(*T) string) ([]T, Page) {
	type keyed struct {
		key   string
		index int
	}
	keys := make([]keyed, len(all))
	for i := range all {
		keys[i] = keyed{key(&all[i]), i}
	}
	slices.SortFunc(keys, func(a, b keyed) int { return strings.Compare(a.key, b.key) })
	from := 0
	if r.After != "" {
		var found bool
		from, found = slices.BinarySearchFunc(keys, r.After, func(k keyed, s string) int { return strings.Compare(k.key, s) })
		if found {
			from++
		}
	}
	to := min(len(keys), from+r.Limit)
	out := make([]T, 0, to-from)
	for _, k := range keys[from:to] {
		out = append(out, all[k.index])
	}
	p := Page{Total: len(all), Truncated: to < len(keys)}
	if p.Truncated {
		p.Next = keys[to-1].key
	}
	return out, p
}
