package fakes

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// teamTicket returns a ticket that sets one team object per name.
func teamTicket(number int, names ...string) wire.Ticket {
	t := wire.Ticket{Number: wire.TicketNumber(number)}
	for _, name := range names {
		t.Objects = append(t.Objects, wire.Object{Kind: wire.ObjectKindTeam, Name: name, Team: &wire.Team{Weight: 1}})
	}
	return t
}

// publish publishes tickets in the given order.
func publish(t *testing.T, c *Config, tickets ...wire.Ticket) {
	t.Helper()
	for _, ticket := range tickets {
		_, err := c.Publish(ticket)
		assert.NilError(t, err)
	}
}

// readTickets reads tickets and returns the response as "index: ticket numbers".
func readTickets(t *testing.T, c *Config, after, wait int) string {
	t.Helper()
	resp := mustSend(t, "GET", fmt.Sprintf("%s/v1/tickets?after=%d&wait=%d", c.URL(), after, wait), "", "", 200)
	var got ticketsResponse
	assert.NilError(t, json.Unmarshal([]byte(resp.body), &got))
	s := fmt.Sprintf("%d:", got.Index)
	for _, p := range got.Tickets {
		var ticket wire.Ticket
		assert.NilError(t, json.Unmarshal(p.Ticket, &ticket))
		s += fmt.Sprintf(" %d", ticket.Number)
	}
	return s
}

// TestTicketsKept guards against a superseded ticket that is kept, and against a ticket that
// is removed while it is still the newest for an object.
func TestTicketsKept(t *testing.T) {
	c := start(t, NewConfig())
	publish(t, c, teamTicket(5, "a", "b"), teamTicket(7, "a"), teamTicket(6, "a", "c"), teamTicket(4, "a"))
	assert.Equal(t, readTickets(t, c, 0, 0), "4: 5 7 6")
	publish(t, c, teamTicket(8, "b"))
	assert.Equal(t, readTickets(t, c, 0, 0), "5: 7 6 8")
	assert.Equal(t, readTickets(t, c, 3, 0), "5: 8")
	assert.Equal(t, readTickets(t, c, 5, 1), "5:")
}

// TestWatch guards against a watch that misses a ticket published while it waits.
func TestWatch(t *testing.T) {
	c := start(t, NewConfig())
	got := make(chan string, 1)
	go func() { got <- readTickets(t, c, 0, 60_000) }()
	eventually(t, "watch", func() bool { return c.Record().Waiting == 1 })
	publish(t, c, teamTicket(1, "a"))
	assert.Equal(t, <-got, "1: 1")
	assert.Equal(t, c.Record().Waiting, 0)
}

// TestStaleAndDown guards against a stale service that serves new tickets, and against watches
// that survive when the service goes down.
func TestStaleAndDown(t *testing.T) {
	c := start(t, NewConfig())
	publish(t, c, teamTicket(1, "a"), teamTicket(2, "a"))
	c.ServeStale()
	publish(t, c, teamTicket(3, "a"))
	assert.Equal(t, readTickets(t, c, 0, 0), "2: 2")
	mustSend(t, "POST", c.URL()+"/fault", "", `{"stale":true,"index":1}`, 200)
	assert.Equal(t, readTickets(t, c, 0, 0), "1: 1")
	assert.Equal(t, readTickets(t, c, 3, 1), "1:")
	c.ServeCurrent()
	assert.Equal(t, readTickets(t, c, 0, 0), "3: 3")
	dropped := sendInBackground("GET", c.URL()+"/v1/tickets?after=3&wait=60000", "", "")
	eventually(t, "watch", func() bool { return c.Record().Waiting == 1 })
	mustSend(t, "POST", c.URL()+"/fault", "", `{"down":true}`, 200)
	assert.Assert(t, <-dropped != nil)
	_, err := send("GET", c.URL()+"/v1/tickets", "", "")
	assert.Assert(t, err != nil)
	c.SetDown(false)
	assert.Equal(t, readTickets(t, c, 2, 0), "3: 3")
}

// TestCallLimit guards against a rate limit that no longer counts watches that have waited for
// more than a second.
func TestCallLimit(t *testing.T) {
	clock := &testClock{}
	c := start(t, NewConfig(WithRateLimit(3), WithClock(clock.now)))
	url := c.URL() + "/v1/tickets?after=0"
	for i := range 2 {
		sendInBackground("GET", url+"&wait=60000", "", "")
		eventually(t, "watch", func() bool { return c.Record().Waiting == i+1 })
	}
	for _, want := range []int{200, 429} {
		mustSend(t, "GET", url, "", "", want)
	}
	clock.advance(time.Second)
	for _, want := range []int{200, 429} {
		mustSend(t, "GET", url, "", "", want)
	}
	publish(t, c, teamTicket(1, "a"))
	eventually(t, "end of the watches", func() bool { return c.Record().Waiting == 0 })
	for _, want := range []int{200, 200, 429} {
		mustSend(t, "GET", url, "", "", want)
	}
	rec := c.Record()
	assert.Equal(t, rec.Refused, 3)
	assert.Equal(t, rec.PeakCalls, 3)
}

// TestPages guards against a response of more than 1 MiB, and against a reader that misses the
// tickets that did not fit.
func TestPages(t *testing.T) {
	c := start(t, NewConfig())
	for i := 1; i <= 3; i++ {
		_, err := c.PublishJSON(fmt.Appendf(nil, `{"number":%d,"objects":[{"kind":"team","name":"%d","pad":%q}]}`,
			i, i, strings.Repeat("x", maxPageBytes/2-1000)))
		assert.NilError(t, err)
	}
	assert.Equal(t, readTickets(t, c, 0, 0), "2: 1 2")
	assert.Equal(t, readTickets(t, c, 2, 0), "3: 3")
}

// TestLoadTickets guards against a reload that publishes a ticket twice or misses a new one.
func TestLoadTickets(t *testing.T) {
	dir := t.TempDir()
	write := func(name, data string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600))
	}
	write("1.json", `{"number":1,"objects":[]}{"number":2,"objects":[]}`)
	write("2.json", `[{"number":3,"objects":[]}]`)
	c := start(t, NewConfig())
	assert.NilError(t, c.Load(dir))
	assert.Equal(t, readTickets(t, c, 0, 0), "3: 1 2 3")
	write("3.json", `{"number":4,"objects":[]}`)
	assert.NilError(t, c.Load(dir))
	assert.Equal(t, readTickets(t, c, 0, 0), "4: 1 2 3 4")
	write("4.json", `{`)
	assert.ErrorContains(t, c.Load(dir), "4.json")
}

// TestHostList guards against a change that is visible before the lag has passed or while the
// list is frozen.
func TestHostList(t *testing.T) {
	clock := &testClock{}
	h := start(t, NewHosts(WithLag(time.Second), WithClock(clock.now)))
	listHosts := func() (s string) {
		var got hostsResponse
		resp := mustSend(t, "GET", h.URL()+"/v1/hosts", "", "", 200)
		assert.NilError(t, json.Unmarshal([]byte(resp.body), &got))
		for _, host := range got.Hosts {
			s += fmt.Sprintf("%s %s;", host.Name, host.State)
		}
		return s
	}
	h.Set(Host{Name: "b"}, Host{Name: "a"})
	assert.Equal(t, listHosts(), "")
	clock.advance(time.Second)
	assert.Equal(t, listHosts(), "a live;b live;")
	h.Leave("a")
	h.Remove("b")
	assert.Equal(t, listHosts(), "a live;b live;")
	clock.advance(time.Second)
	assert.Equal(t, listHosts(), "a leaving;")
	mustSend(t, "POST", h.URL()+"/fault", "", `{"stale":true,"lag":0}`, 200)
	h.Set(Host{Name: "c"})
	assert.Equal(t, listHosts(), "a leaving;")
	mustSend(t, "POST", h.URL()+"/fault", "", `{"stale":false}`, 200)
	assert.Equal(t, listHosts(), "a leaving;c live;")
}
