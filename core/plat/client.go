package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"hornbeamcove.example/core/wire"
)

const (
	// readRate and readBurst keep 370 routers under 1,500 of the 2,000 reads a second
	// that the service allows.
	readRate  = 4 // reads a second
	readBurst = 4

	// readTimeoutMargin is added to the wait of a ticket read to give its timeout.
	// With the usual wait of 2 s a silent connection is abandoned after 3 s, so that
	// a change can still be in force within 4 s.
	readTimeoutMargin = time.Second

	hostsTimeout = 2 * time.Second
	dialTimeout  = time.Second

	maxResponseBody = 4 << 20 // bytes; a list of 11,500 hosts takes about 1.5 MB
	maxRetryAfter   = time.Minute
)

// Page is one response of the configuration service.
type Page struct {
	// Index is the newest index of the service.
	Index uint64 `json:"index"`
	// Tickets are the tickets after the requested index, in order of their indexes.
	Tickets []RawTicket `json:"tickets"`
}

// RawTicket is a ticket as the service sends it, not yet parsed.
type RawTicket struct {
	Index  uint64          `json:"index"`
	Ticket json.RawMessage `json:"ticket"`
}

// HostState is the state of an entry of the host list.
type HostState string

// The states of the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	Name    wire.HostID       `json:"name"`
	Role    wire.Role         `json:"role"`
	Address wire.Address      `json:"address"`
	Region  wire.RegionID     `json:"region"`
	Centre  wire.DataCentreID `json:"centre"`
	State   HostState         `json:"state"`
}

// StatusError is the error for a response with a status other than 200.
type StatusError struct {
	Code int
	// RetryAfter is the delay that the service asked for, at most a minute, or 0.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("platform answered %d", e.Code) }

// IsRateLimited reports whether the service refused the read because of its rate.
func (e *StatusError) IsRateLimited() bool { return e.Code == fasthttp.StatusTooManyRequests }

// Client reads from the platform. It is safe for concurrent use. A read waits
// for the rate limit, has a timeout and is not retried.
type Client struct {
	baseURL        string
	limiter        *rate.Limiter
	tickets, hosts *cancellableClient
}

// NewClient returns a client of the platform at a base URL.
func NewClient(base string) *Client {
	return &Client{
		baseURL: base,
		limiter: rate.NewLimiter(readRate, readBurst),
		tickets: newCancellableClient(),
		hosts:   newCancellableClient(),
	}
}

// Tickets returns the tickets after an index. The service answers at once if
// there are any; otherwise it holds the request for up to wait.
func (c *Client) Tickets(ctx context.Context, after uint64, wait time.Duration) (p Page, err error) {
	url := fmt.Sprintf("%s/v1/tickets?after=%d&wait=%d", c.baseURL, after, wait.Milliseconds())
	if err = c.get(ctx, c.tickets, url, wait+readTimeoutMargin, &p); err != nil {
		return Page{}, fmt.Errorf("read tickets: %w", err)
	}
	return p, nil
}

// Hosts returns the host list and the number of entries left out because they can't be
// decoded or have no name, an unknown state or an address without a valid port.
func (c *Client) Hosts(ctx context.Context) (hosts []Host, dropped int, err error) {
	var doc json.RawMessage
	if err = c.get(ctx, c.hosts, c.baseURL+"/v1/hosts", hostsTimeout, &doc); err != nil {
		return nil, 0, fmt.Errorf("read hosts: %w", err)
	}
	entries, err := listEntries(doc, "hosts")
	if err != nil {
		return nil, 0, fmt.Errorf("read hosts: %w", err)
	}
	for _, e := range entries {
		var h Host
		if json.Unmarshal(e, &h) != nil || h.Name == "" || h.State != HostLive && h.State != HostLeaving || !validAddress(h.Address) {
			dropped++
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, dropped, nil
}

// Close closes all connections; reads in progress fail.
func (c *Client) Close() {
	c.tickets.close()
	c.hosts.close()
}

// get decodes the JSON body of a response into dst, or copies it if dst is a
// *json.RawMessage. timeout doesn't include the
// time spent waiting for the rate limit.
func (c *Client) get(ctx context.Context, hc *cancellableClient, url string, timeout time.Duration, dst any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := hc.do(ctx, req, resp, time.Now().Add(timeout)); err != nil {
		return err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return &StatusError{code, retryAfter(resp)}
	}
	if raw, ok := dst.(*json.RawMessage); ok {
		*raw = bytes.Clone(resp.Body())
		return nil
	}
	return json.Unmarshal(resp.Body(), dst)
}

// retryAfter returns the seconds of the Retry-After header as a duration, at most
// maxRetryAfter, or 0 if there are none.
func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds), maxRetryAfter/time.Second) * time.Second
}
