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
	// maxPageBytes is the maximum size of a response of the configuration service.
	maxPageBytes = 1 << 20
	// overheadBytes is an upper bound of the JSON that a response adds to each ticket, and
	// of the JSON around the list of tickets.
	overheadBytes = 64
	// maxWatchWait is the longest time that a watch waits for a new ticket.
	maxWatchWait = time.Minute
	// maxHistoryTickets is the number of tickets kept to reconstruct earlier states.
	maxHistoryTickets = 1 << 16
	// maxUnreadableTickets is the number of tickets without readable objects that a set
	// keeps. The oldest are removed first.
	maxUnreadableTickets = 64
)

// Config stands in for the platform's configuration service. It serves published tickets
// at GET /v1/tickets and supports watches by long polling.
type Config struct {
	platform
	current        ticketSet
	staleTickets   *ticketSet // tickets served instead of current, or nil
	history        []PublishedTicket
	changed        chan struct{}  // closed and replaced at each change
	indexByContent map[string]int // index of each ticket in history, by its compacted JSON
}

// PublishedTicket is a ticket and the index at which it was published. Indexes start at 1
// and increase by one.
type PublishedTicket struct {
	Index  int             `json:"index"`
	Ticket json.RawMessage `json:"ticket"`
}

// objectKey identifies a configuration object.
type objectKey struct {
	kind wire.ObjectKind
	name string
}

// ticketSet holds every ticket that is the newest for at least one object, and the latest
// tickets that set no readable object.
type ticketSet struct {
	index      int               // index of the ticket added last, kept or not
	tickets    []PublishedTicket // kept tickets, sorted by index
	newest     map[objectKey]newestTicket
	refs       map[int]int // number of objects for which a ticket is the newest, by its index
	unreadable []int       // indexes of tickets without readable objects, oldest first
}

// newestTicket is the newest ticket for an object: its number, which decides which ticket
// is newer, and its index.
type newestTicket struct {
	number wire.TicketNumber
	index  int
}

// NewConfig returns a configuration service without tickets. Start starts it.
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

// add adds p and removes the tickets that it supersedes, or p itself if it is the newest
// ticket for none of its objects.
func (t *ticketSet) add(p PublishedTicket) {
	t.index = p.Index
	t.tickets = append(t.tickets, p)
	var ticket wire.Ticket
	if err := json.Unmarshal(p.Ticket, &ticket); err != nil || len(ticket.Objects) == 0 {
		t.unreadable = append(t.unreadable, p.Index)
		if len(t.unreadable) > maxUnreadableTickets {
			t.remove(t.unreadable[0])
			t.unreadable = t.unreadable[1:]
		}
		return
	}
	for _, o := range ticket.Objects {
		key := objectKey{o.Kind, o.Name}
		old, ok := t.newest[key]
		if ok && old.number >= ticket.Number {
			continue
		}
		t.newest[key] = newestTicket{ticket.Number, p.Index}
		t.refs[p.Index]++
		if ok {
			t.unref(old.index)
		}
	}
	if t.refs[p.Index] == 0 {
		t.remove(p.Index)
	}
}

// unref removes the ticket at index once it is the newest for no object.
func (t *ticketSet) unref(index int) {
	t.refs[index]--
	if t.refs[index] == 0 {
		t.remove(index)
	}
}

// remove removes the ticket at index if the set holds it.
func (t *ticketSet) remove(index int) {
	delete(t.refs, index)
	if i, ok := t.find(index); ok {
		t.tickets = slices.Delete(t.tickets, i, i+1)
	}
}

// find returns the position of the ticket at index, or where it would be inserted.
func (t *ticketSet) find(index int) (i int, ok bool) {
	return slices.BinarySearchFunc(t.tickets, index, func(p PublishedTicket, n int) int { return p.Index - n })
}

// page returns the tickets after an index that fit into one response. If some do not fit,
// the index of the response is that of its last ticket, so that the reader continues there.
func (t *ticketSet) page(after int) ticketsResponse {
	i, _ := t.find(after + 1)
	resp := ticketsResponse{Index: t.index, Tickets: []PublishedTicket{}}
	size := overheadBytes
	for _, p := range t.tickets[i:] {
		size += len(p.Ticket) + overheadBytes
		if size > maxPageBytes {
			resp.Index = resp.Tickets[len(resp.Tickets)-1].Index
			break
		}
		resp.Tickets = append(resp.Tickets, p)
	}
	return resp
}

// ticketsResponse is the response to GET /v1/tickets.
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

// PublishJSON publishes a ticket given as JSON and returns its index. Only the JSON syntax
// and the size are checked, so that tests can publish invalid tickets. A ticket with the
// same content as one in the history keeps that index and is not published again.
func (c *Config) PublishJSON(data []byte) (index int, err error) {
	var b bytes.Buffer
	if err := json.Compact(&b, data); err != nil {
		return 0, fmt.Errorf("publish ticket: %w", err)
	}
	if b.Len()+2*overheadBytes > maxPageBytes {
		return 0, fmt.Errorf("publish ticket: %d bytes do not fit into a response of %d bytes", b.Len(), maxPageBytes)
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

// Load publishes the tickets in a file, or in all .json files of a directory in the order
// of their names. Tickets that have been published already are skipped. A file holds JSON
// tickets or arrays of them.
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
		var raw json.RawMessage
		if err := dec.Decode(&raw); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		rawTickets := []json.RawMessage{raw}
		if raw[0] == '[' {
			if err := json.Unmarshal(raw, &rawTickets); err != nil {
				return err
			}
		}
		for _, t := range rawTickets {
			if _, err := c.PublishJSON(t); err != nil {
				return err
			}
		}
	}
}

// Index returns the index of the ticket published last, or zero if there is none.
func (c *Config) Index() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.index
}

// ServeStale makes the service serve its present state until ServeCurrent is called, even
// if tickets are published meanwhile.
func (c *Config) ServeStale() { c.ServeStaleAt(c.Index()) }

// ServeStaleAt makes the service serve its state as of an index until ServeCurrent is
// called. Tickets that have left the history are missing from that state.
func (c *Config) ServeStaleAt(index int) {
	snapshot := newTicketSet()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.history {
		if p.Index <= index {
			snapshot.add(p)
		}
	}
	c.staleTickets = &snapshot
	c.notifyWatches()
}

// ServeCurrent makes the service serve its current state again after ServeStale or
// ServeStaleAt.
func (c *Config) ServeCurrent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.staleTickets = nil
	c.notifyWatches()
}

// notifyWatches makes waiting watches check for tickets again; the caller holds c.mu.
func (c *Config) notifyWatches() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Config) serve(ctx context.Context, rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != "/v1/tickets" || !rc.IsGet() {
		writeError(rc, fasthttp.StatusNotFound, "no such path")
		return
	}
	after, afterErr := queryUint(rc, "after")
	wait, waitErr := queryUint(rc, "wait")
	if err := errors.Join(afterErr, waitErr); err != nil {
		writeError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	resp, ok := c.watch(ctx, after, min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	if !ok {
		closeConnection(rc)
		return
	}
	writeJSON(rc, fasthttp.StatusOK, resp)
}

// watch returns the tickets after an index. If there is none, it waits until one is
// published or the wait time is over. It returns false if the run ends or the service goes
// down meanwhile.
func (c *Config) watch(ctx context.Context, after int, wait time.Duration) (ticketsResponse, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := false
	for timedOut := wait == 0; ; {
		if c.down || ctx.Err() != nil {
			c.rec.Dropped++
			return ticketsResponse{}, false
		}
		served := &c.current
		if c.staleTickets != nil {
			served = c.staleTickets
		}
		resp := served.page(after)
		if timedOut || len(resp.Tickets) > 0 {
			c.countRead("/v1/tickets")
			return resp, true
		}
		if !waiting {
			waiting = true
			defer c.limiter.endWatch(c.limiter.beginWatch())
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
		}
		c.mu.Lock()
	}
}

// SetDown makes the service end its watches and close connections without an answer if
// down is true, and answer again if it is false.
func (c *Config) SetDown(down bool) {
	c.platform.SetDown(down)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyWatches()
}
