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
	// maxPage bounds an answer of the configuration service in bytes.
	maxPage = 1 << 20
	// pageOverhead is what an answer adds to each ticket, and around all of them.
	pageOverhead = 64
	// maxWait bounds how long a watch waits.
	maxWait = time.Minute
	// maxHistory bounds the tickets from which an earlier state can be served.
	maxHistory = 1 << 16
	// maxOpaque bounds the kept tickets that set no readable object; the oldest go first.
	maxOpaque = 64
)

// Config stands in for the platform's configuration service.
type Config struct {
	platform
	present  tickets
	past     *tickets // served instead of present while stale
	history  []PublishedTicket
	changed  chan struct{} // closed and replaced at each change
	contents map[string]int
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

// tickets keeps every ticket that is the newest for some object.
type tickets struct {
	index  int
	kept   []PublishedTicket // by index
	newest map[objectKey]holder
	refs   map[int]int // objects for which the ticket at an index is the newest
	opaque []int       // indexes of tickets without readable objects
}

type holder struct {
	number wire.TicketNumber
	index  int
}

// NewConfig returns a configuration service that is not started and has no tickets.
func NewConfig(opts ...Option) *Config {
	c := &Config{changed: make(chan struct{}), contents: map[string]int{}, present: newTickets()}
	c.init(opts, c.serve)
	c.server.apply = func(f *Fault) {
		c.applyCommon(f)
		if f.Stale == nil {
			return
		}
		switch {
		case !*f.Stale:
			c.Fresh()
		case f.Index != nil:
			c.StaleAt(*f.Index)
		default:
			c.Stale()
		}
		f.Stale, f.Index = nil, nil
	}
	return c
}

func newTickets() tickets {
	return tickets{newest: map[objectKey]holder{}, refs: map[int]int{}}
}

// add publishes p and drops the tickets that it makes superfluous.
func (t *tickets) add(p PublishedTicket) {
	t.index = p.Index
	t.kept = append(t.kept, p)
	var in wire.Ticket
	if err := json.Unmarshal(p.Ticket, &in); err != nil || len(in.Objects) == 0 {
		t.opaque = append(t.opaque, p.Index)
		if len(t.opaque) > maxOpaque {
			t.drop(t.opaque[0])
			t.opaque = t.opaque[1:]
		}
		return
	}
	for _, o := range in.Objects {
		key := objectKey{o.Kind, o.Name}
		old, ok := t.newest[key]
		if ok && old.number >= in.Number {
			continue
		}
		t.newest[key] = holder{in.Number, p.Index}
		t.refs[p.Index]++
		if ok {
			t.release(old.index)
		}
	}
	if t.refs[p.Index] == 0 {
		t.drop(p.Index)
	}
}

func (t *tickets) release(index int) {
	t.refs[index]--
	if t.refs[index] == 0 {
		t.drop(index)
	}
}

func (t *tickets) drop(index int) {
	delete(t.refs, index)
	if i, ok := t.find(index); ok {
		t.kept = slices.Delete(t.kept, i, i+1)
	}
}

func (t *tickets) find(index int) (i int, ok bool) {
	return slices.BinarySearchFunc(t.kept, index, func(p PublishedTicket, n int) int { return p.Index - n })
}

// page returns the tickets after an index that fit into one answer. When some do not
// fit, the index is that of the last ticket in the page, so that readers continue there.
func (t *tickets) page(after int) configAnswer {
	i, _ := t.find(after + 1)
	a := configAnswer{Index: t.index, Tickets: []PublishedTicket{}}
	size := pageOverhead
	for _, p := range t.kept[i:] {
		size += len(p.Ticket) + pageOverhead
		if size > maxPage {
			a.Index = a.Tickets[len(a.Tickets)-1].Index
			break
		}
		a.Tickets = append(a.Tickets, p)
	}
	return a
}

type configAnswer struct {
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
	if b.Len()+2*pageOverhead > maxPage {
		return 0, fmt.Errorf("publish ticket: %d bytes do not fit into an answer of %d", b.Len(), maxPage)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if index, ok := c.contents[b.String()]; ok {
		return index, nil
	}
	p := PublishedTicket{c.present.index + 1, b.Bytes()}
	c.contents[b.String()] = p.Index
	c.present.add(p)
	c.history = append(c.history, p)
	if len(c.history) > maxHistory {
		delete(c.contents, string(c.history[0].Ticket))
		c.history = c.history[1:]
	}
	c.wake()
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
	return c.present.index
}

// Stale makes the service serve its present state until Fresh, whatever is published.
func (c *Config) Stale() { c.StaleAt(c.Index()) }

// StaleAt makes the service serve its state as of an index until Fresh.
func (c *Config) StaleAt(index int) {
	past := newTickets()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.history {
		if p.Index <= index {
			past.add(p)
		}
	}
	c.past = &past
	c.wake()
}

// Fresh ends Stale.
func (c *Config) Fresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.past = nil
	c.wake()
}

// wake lets waiting watches look again; the caller holds c.mu.
func (c *Config) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Config) serve(ctx context.Context, rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != "/v1/tickets" || !rc.IsGet() {
		fail(rc, fasthttp.StatusNotFound, "no such path")
		return
	}
	after, err := number(rc, "after")
	wait, err2 := number(rc, "wait")
	if err := errors.Join(err, err2); err != nil {
		fail(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	a, ok := c.watch(ctx, after, min(time.Duration(wait)*time.Millisecond, maxWait))
	if !ok {
		hangUp(rc)
		return
	}
	reply(rc, fasthttp.StatusOK, a)
}

// watch returns the tickets after an index, waiting for one if there is none. It reports
// false when the service ends or goes down meanwhile.
func (c *Config) watch(ctx context.Context, after int, wait time.Duration) (configAnswer, bool) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := false
	for late := wait == 0; ; {
		if c.down || ctx.Err() != nil {
			c.rec.Dropped++
			return configAnswer{}, false
		}
		serving := &c.present
		if c.past != nil {
			serving = c.past
		}
		a := serving.page(after)
		if late || len(a.Tickets) > 0 {
			c.answered("/v1/tickets")
			return a, true
		}
		if !waits {
			waits = true
			defer c.meter.done(c.meter.wait())
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

// Down makes the service drop its watches and close connections without an answer, or
// ends that.
func (c *Config) Down(down bool) {
	c.platform.Down(down)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake()
}
