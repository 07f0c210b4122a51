package cove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/sourcegraph/conc/iter"

	"hornbeamcove.example/core/admin"
)

const (
	maxResponseSize      = 16 << 20 // bytes
	maxConcurrentQueries = 32       // processes queried in parallel
	// queryTimeout limits one HTTP request. It is shorter than the command's timeout, so
	// that the result of the other routers is still printed if one does not answer.
	queryTimeout = 10 * time.Second
	// maxRows is the number of rows at which reading of a process's list stops.
	maxRows = 20_000
)

// client queries the administration API of one process.
type client struct {
	addr       string // address as the operator gave it
	base       string // base URL without a trailing slash
	credential string
	http       *http.Client
}

func newClient(addr, credential string) *client {
	base := addr
	if !strings.Contains(addr, "://") {
		base = "http://" + addr
	}
	return &client{addr: addr, base: strings.TrimSuffix(base, "/"), credential: credential, http: &http.Client{
		// No proxy: the credential goes to the named process only.
		Transport: &http.Transport{IdleConnTimeout: queryTimeout},
		// Redirects are not followed, since they could send the credential to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// statusError is the error for a response with a status other than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// get sends a GET request and decodes the JSON response into v.
func (c *client) get(ctx context.Context, path string, q url.Values, v any) error {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return c.do(ctx, http.MethodGet, path, nil, v)
}

// do sends a request and decodes the JSON response into v. Another status than 200 is
// a *statusError.
func (c *client) do(ctx context.Context, method, path string, body io.Reader, v any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	if c.credential != "" {
		req.Header.Set("Authorization", "Bearer "+c.credential)
	}
	resp, err := c.http.Do(req)
	var ue *url.Error
	if errors.As(err, &ue) {
		err = ue.Err // drop the URL, since the caller adds the address
	}
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	switch {
	case err != nil:
		return err
	case len(data) > maxResponseSize:
		return fmt.Errorf("response exceeds %d bytes", maxResponseSize)
	case resp.StatusCode != http.StatusOK:
		return newStatusError(resp.StatusCode, data)
	}
	if err = json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode response of the administration API: %w", err)
	}
	return nil
}

// newStatusError takes the text from a JSON error response, or else from the status.
func newStatusError(status int, data []byte) error {
	var p struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(data, &p) != nil || p.Error == "" {
		p.Error = http.StatusText(status)
	}
	return &statusError{status, p.Error}
}

// readPages reads a list page by page until it has at least maxRows items. split
// returns the items and the paging fields of a response. readPages returns the last
// response, all items, and whether items were left out.
func readPages[A, R any](ctx context.Context, c *client, path string, q url.Values, split func(*A) ([]R, admin.Page)) (last A, out []R, truncated bool, err error) {
	if q == nil {
		q = url.Values{}
	}
	q.Set("limit", fmt.Sprint(admin.MaxLimit))
	for {
		last = *new(A) // decoding would keep fields that this response leaves out
		if err = c.get(ctx, path, q, &last); err != nil {
			return last, nil, false, err
		}
		items, page := split(&last)
		out = append(out, items...)
		if !page.Truncated || len(out) >= maxRows {
			return last, out, page.Truncated, nil
		}
		q.Set("after", page.Next)
	}
}

// answer is the response of one process, with the address that the operator gave for it.
type answer[T any] struct {
	Router string `json:"router"`
	Answer T      `json:"answer"`
}

// failure is a process whose query failed, by the address that the operator gave for it.
type failure struct {
	Router string `json:"router"`
	Error  string `json:"error"`
	err    error
}

// queryAll runs query against all processes, at most maxConcurrentQueries at a time.
// Both lists are in the order of the addresses.
func queryAll[T any](ctx context.Context, a *app, query func(context.Context, *client) (T, error)) (got []answer[T], failed []failure) {
	type result struct {
		v   T
		err error
	}
	results := iter.Mapper[*client, result]{MaxGoroutines: maxConcurrentQueries}.Map(a.clients, func(c **client) result {
		v, err := query(ctx, *c)
		return result{v, err}
	})
	for i, r := range results {
		addr := a.clients[i].addr
		if r.err != nil {
			failed = append(failed, failure{addr, r.err.Error(), r.err})
			continue
		}
		got = append(got, answer[T]{addr, r.v})
	}
	return got, failed
}

// reportFailures prints the failed queries to standard error. It returns nil if there
// are none, and else an error with ExitError if answered, the number of successful
// queries, is 0, and with ExitPartial otherwise.
func (a *app) reportFailures(answered int, failed []failure) error {
	for _, f := range failed {
		fmt.Fprintf(a.Err, "cove: %s was not asked: %s\n", f.Router, f.Error)
	}
	switch {
	case len(failed) == 0:
		return nil
	case answered == 0:
		return exitErrorf(ExitError, "no router answered")
	default:
		return exitErrorf(ExitPartial, "%d of %d routers were not asked; the result is partial", len(failed), answered+len(failed))
	}
}
