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
	maxConcurrentQueries = 32       // processes asked at once
	// queryTimeout bounds one question, so that a router that does not answer is
	// reported while the others are still of use.
	queryTimeout = 10 * time.Second
	// maxRows bounds the rows read from one process.
	maxRows = 20_000
)

// client asks one process.
type client struct {
	addr       string
	base       string
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
		// Redirects are not followed, since they would take the credential elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// statusError is an answer with another status than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// get reads a JSON answer into v.
func (c *client) get(ctx context.Context, path string, q url.Values, v any) error {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return c.do(ctx, http.MethodGet, path, nil, v)
}

func (c *client) do(ctx context.Context, method, path string, body io.Reader, v any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.credential)
	resp, err := c.http.Do(req)
	var ue *url.Error
	if errors.As(err, &ue) {
		err = ue.Err // the address is named by the caller
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
		return fmt.Errorf("the answer is over %d bytes", maxResponseSize)
	case resp.StatusCode != http.StatusOK:
		return newStatusError(resp.StatusCode, data)
	}
	if err = json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("not an answer of the administration API: %w", err)
	}
	return nil
}

func newStatusError(status int, data []byte) error {
	var p struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(data, &p) != nil || p.Error == "" {
		p.Error = http.StatusText(status)
	}
	return &statusError{status, p.Error}
}

// readPages reads a list page by page, up to maxRows entries, and reports whether
// entries were left out.
func readPages[A, R any](ctx context.Context, c *client, path string, q url.Values, rows func(*A) ([]R, admin.Page)) (last A, out []R, cut bool, err error) {
	if q == nil {
		q = url.Values{}
	}
	q.Set("limit", fmt.Sprint(admin.MaxLimit))
	for {
		last = *new(A)
		if err = c.get(ctx, path, q, &last); err != nil {
			return last, nil, false, err
		}
		part, page := rows(&last)
		out = append(out, part...)
		if !page.Truncated || len(out) >= maxRows {
			return last, out, page.Truncated, nil
		}
		q.Set("after", page.Next)
	}
}

// answer is what one process said.
type answer[T any] struct {
	Router string `json:"router"`
	Answer T      `json:"answer"`
}

// failure is a process that could not be asked.
type failure struct {
	Router string `json:"router"`
	Error  string `json:"error"`
	err    error
}

// queryAll puts one question to all processes, at most maxConcurrentQueries at a time. Both lists
// are in the order of the addresses.
func queryAll[T any](ctx context.Context, a *app, f func(context.Context, *client) (T, error)) (got []answer[T], failed []failure) {
	type result struct {
		v   T
		err error
	}
	results := iter.Mapper[*client, result]{MaxGoroutines: maxConcurrentQueries}.Map(a.clients, func(c **client) result {
		v, err := f(ctx, *c)
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

// reportFailures reports the processes that could not be asked.
func (a *app) reportFailures(got int, failed []failure) error {
	for _, f := range failed {
		fmt.Fprintf(a.Err, "cove: %s was not asked: %s\n", f.Router, f.Error)
	}
	switch {
	case len(failed) == 0:
		return nil
	case got == 0:
		return exitErrorf(ExitError, "no router answered")
	default:
		return exitErrorf(ExitPartial, "%d of %d routers were not asked; the result is partial", len(failed), got+len(failed))
	}
}
