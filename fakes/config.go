package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamcove.example/core/wire"
)

const (
	// maxPageBytes bounds an answer of the configuration service in bytes.
	maxPageBytes = 1 << 20
	// overheadBytes is what an answer adds to each ticket, and around all of them.
	overheadBytes = 64
	// maxWatchWait bounds how long a watch waits.
	maxWatchWait = time.Minute
	// maxHistoryTickets bounds the tickets from which an earlier state can be served.
	maxHistoryTickets = 1 << 16
	// maxUnreadableTickets bounds the kept tickets that set no readable object; the oldest go first.
	maxUnreadableTickets = 64
)

// Config stands in for the platform's configuration service.
type Config struct {
	platform
	current        ticketSet
	staleTickets   *ticketSet // served instead of present while stale
	history        []PublishedTicket
	changed        chan struct{} // closed and replaced at each change
	indexByContent map[string]int
}

// PublishedTicket is a ticket with the index that it was published at.
type PublishedTicket struct {
	Index  int             `json:"index"`
	Ticket json.RawMessage `json:"ticket"`
}

type objectKey struct {
	kind wire.ObjectKind
	name string
}

// ticketSet keeps every ticket that is the newest for some object.
type ticketSet struct {
	index      int
	tickets    []PublishedTicket // by index
	newest     map[objectKey]newestTicket
	refs       map[int]int // objects for which the ticket at an index is the newest
	unreadable []int       // indexes of tickets without readable objects
}

type newestTicket struct {
	number wire.TicketNumber
	index  int
}

// NewConfig returns a configuration service that is not started and has no tickets.
func NewConfig(opts ...Option) *Config {
	c := &Config{changed: make(chan struct{}), indexByContent: map[string]int{}, current: newTicketSet()}
	c.init(opts, c.serve)
	c.server.onFault = func(f *Fault) {
		c.applyCommon(f)
		if f.Stale == nil {
			return
		}
		switch {
		case !*f.Stale:
			c.ServeCurrent()
		case f.Index != nil:
			c.ServeStaleAt(*f.Index)
		default:
			c.ServeStale()
		}
		f.Stale, f.Index = nil, nil
	}
	return c
}

func newTicketSet() ticketSet {
	return ticketSet{newest: map[objectKey]newestTicket{}, refs: map[int]int{}}
}

// add publishes p and drops the tickets that it makes superfluous.
func (t *ticketSet) add(p PublishedTicket) {
	t.index = p.Index
	t.tickets = append(t.tickets, p)
	var in wire.Ticket
	if err := json.Unmarshal(p.Ticket, &in); err != nil || len(in.Objects) == 0 {
		t.unreadable = append(t.unreadable, p.Index)
		if len(t.unreadable) > maxUnreadableTickets {
			t.remove(t.unreadable[0])
			t.unreadable = t.unreadable[1:]
		}
		return
	}
	for _, o := range in.Objects {
		key := objectKey{o.Kind, o.Name}
		old, ok := t.newest[key]
		if ok && old.number >= in.Number {
			continue
		}
		t.newest[key] = newestTicket{in.Number, p.Index}
		t.refs[p.Index]++
		if ok {
			t.unref(old.index)
		}
	}
	if t.refs[p.Index] == 0 {
		t.remove(p.Index)
	}
}

func (t *ticketSet) unref(index int) {
	t.refs[index]--
	if t.refs[index] == 0 {
		t.remove(index)
	}
}

func (t *ticketSet) remove(index int) {
	delete(t.refs, index)
	if i, ok := t.find(index); ok {
		t.tickets = slices.Delete(t.tickets, i, i+1)
	}
}

func (t *ticketSet) find(index int) (i int, ok bool) {
	return slices.BinarySearchFunc(t.tickets, index, func(p PublishedTicket, n int) int { return p.Index - n })
}

// page returns the tickets after an index that fit into one answer. When some do not
// fit, the index is that of the last ticket in the page, so that readers continue there.
func (t *ticketSet) page(after int) ticketsResponse {
	i, _ := t.find(after + 1)
	a := ticketsResponse{Index: t.index, Tickets: []PublishedTicket{}}
	size := overheadBytes
	for _, p := range t.tickets[i:] {
		size += len(p.Ticket) + overheadBytes
		if size > maxPageBytes {
			a.Index = a.Tickets[len(a.Tickets)-1].Index
			break
		}
		a.Tickets = append(a.Tickets, p)
	}
	return a
}

type ticketsResponse struct {
	Index   int               `json:"index"`
	Tickets []PublishedTicket `json:"tickets"`
}

// Publish publishes a ticket and returns its index.
func (c *Config) Publish(t wire.Ticket) (index int, err error) {
	data, err := json.Marshal(t)
	if err != nil {
		return 0, fmt.Errorf("publish ticket %d: %w", t.Number, err)
	}
	return c.PublishJSON(data)
}

// PublishJSON publishes a ticket that may be invalid in everything but its JSON syntax
// and size. A ticket that was published before keeps its index.
func (c *Config) PublishJSON(data []byte) (index int, err error) {
	var b bytes.Buffer
	if err := json.Compact(&b, data); err != nil {
		return 0, fmt.Errorf("publish ticket: %w", err)
	}
	if b.Len()+2*overheadBytes > maxPageBytes {
		return 0, fmt.Errorf("publish ticket: %d bytes do not fit into an answer of %d", b.Len(), maxPageBytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if index, ok := c.indexByContent[b.String()]; ok {
		return index, nil
	}
	p := PublishedTicket{c.current.index + 1, b.Bytes()}
	c.indexByContent[b.String()] = p.Index
	c.current.add(p)
	c.history = append(c.history, p)
	if len(c.history) > maxHistoryTickets {
		delete(c.indexByContent, string(c.history[0].Ticket))
		c.history = c.history[1:]
	}
	c.notifyWatches()
	return p.Index, nil
}

// Load publishes the tickets in a file, or in all .json files of a folder by name, that
// have not been published. A file holds JSON tickets or lists of them.
func (c *Config) Load(path string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load tickets from %s: %w", path, err)
		}
	}()
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	files := []string{path}
	if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*.json")); err != nil {
			return err
		}
	}
	for _, file := range files {
		if err := c.loadFile(file); err != nil {
			return fmt.Errorf("%s: %w", filepath.Base(file), err)
		}
	}
	return nil
}

func (c *Config) loadFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	for {
		var one json.RawMessage
		if err := dec.Decode(&one); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		list := []json.RawMessage{one}
		if one[0] == '[' {
			if err := json.Unmarshal(one, &list); err != nil {
				return err
			}
		}
		for _, t := range list {
			if _, err := c.PublishJSON(t); err != nil {
				return err
			}
		}
	}
}

// Index returns the newest index.
func (c *Config) Index() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.index
}

// ServeStale makes the service serve its present state until Fresh, whatever is published.
func (c *Config) ServeStale() { c.ServeStaleAt(c.Index()) }

// ServeStaleAt makes the service serve its state as of an index until Fresh.
func (c *Config) ServeStaleAt(index int) {
	past := newTicketSet()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.history {
		if p.Index <= index {
			past.add(p)
		}
	}
	c.staleTickets = &past
	c.notifyWatches()
}

// ServeCurrent ends Stale.
func (c *Config) ServeCurrent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.staleTickets = nil
	c.notifyWatches()
}

// notifyWatches lets waiting watches look again; the caller holds c.mu.
func (c *Config) notifyWatches() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Config) serve(ctx context.Context, rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != "/v1/tickets" || !rc.IsGet() {
		writeError(rc, fasthttp.StatusNotFound, "no such path")
		return
	}
	after, err := queryUint(rc, "after")
	wait, err2 := queryUint(rc, "wait")
	if err := errors.Join(err, err2); err != nil {
		writeError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	a, ok := c.watch(ctx, after, min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	if !ok {
		closeConnection(rc)
		return
	}
	writeJSON(rc, fasthttp.StatusOK, a)
}

// watch returns the tickets after an index, waiting for one if there is none. It reports
// false when the service ends or goes down meanwhile.
func (c *Config) watch(ctx context.Context, after int, wait time.Duration) (ticketsResponse, bool) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := false
	for late := wait == 0; ; {
		if c.down || ctx.Err() != nil {
			c.rec.Dropped++
			return ticketsResponse{}, false
		}
		serving := &c.current
		if c.staleTickets != nil {
			serving = c.staleTickets
		}
		a := serving.page(after)
		if late || len(a.Tickets) > 0 {
			c.countRead("/v1/tickets")
			return a, true
		}
		if !waits {
			waits = true
			defer c.limiter.endWatch(c.limiter.beginWatch())
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			late = true
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
}

// SetDown makes the service drop its watches and close connections without an answer, or
// ends that.
func (c *Config) SetDown(down bool) {
	c.platform.SetDown(down)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyWatches()
}
