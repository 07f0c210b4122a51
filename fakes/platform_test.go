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

func teams(number int, names ...string) wire.Ticket {
	t := wire.Ticket{Number: wire.TicketNumber(number)}
	for _, name := range names {
		t.Objects = append(t.Objects, wire.Object{Kind: wire.ObjectKindTeam, Name: name, Team: &wire.Team{Weight: 1}})
	}
	return t
}

func publish(t *testing.T, c *Config, ts ...wire.Ticket) {
	t.Helper()
	for _, one := range ts {
		_, err := c.Publish(one)
		assert.NilError(t, err)
	}
}

// read returns the answer as "index: numbers of the tickets".
func read(t *testing.T, c *Config, after, wait int) string {
	t.Helper()
	a := mustSend(t, "GET", fmt.Sprintf("%s/v1/tickets?after=%d&wait=%d", c.URL(), after, wait), "", "", 200)
	var got ticketsResponse
	assert.NilError(t, json.Unmarshal([]byte(a.body), &got))
	s := fmt.Sprintf("%d:", got.Index)
	for _, p := range got.Tickets {
		var one wire.Ticket
		assert.NilError(t, json.Unmarshal(p.Ticket, &one))
		s += fmt.Sprintf(" %d", one.Number)
	}
	return s
}

// Guards against a superseded ticket that is kept, and against one that is dropped while it
// is still the newest for an object.
func TestTicketsKept(t *testing.T) {
	c := start(t, NewConfig())
	publish(t, c, teams(5, "a", "b"), teams(7, "a"), teams(6, "a", "c"), teams(4, "a"))
	assert.Equal(t, read(t, c, 0, 0), "4: 5 7 6")
	publish(t, c, teams(8, "b"))
	assert.Equal(t, read(t, c, 0, 0), "5: 7 6 8")
	assert.Equal(t, read(t, c, 3, 0), "5: 8")
	assert.Equal(t, read(t, c, 5, 1), "5:")
}

func TestWatch(t *testing.T) {
	c := start(t, NewConfig())
	got := make(chan string, 1)
	go func() { got <- read(t, c, 0, 60_000) }()
	eventually(t, "watch", func() bool { return c.Record().Waiting == 1 })
	publish(t, c, teams(1, "a"))
	assert.Equal(t, <-got, "1: 1")
	assert.Equal(t, c.Record().Waiting, 0)
}

func TestStaleAndDown(t *testing.T) {
	c := start(t, NewConfig())
	publish(t, c, teams(1, "a"), teams(2, "a"))
	c.ServeStale()
	publish(t, c, teams(3, "a"))
	assert.Equal(t, read(t, c, 0, 0), "2: 2")
	mustSend(t, "POST", c.URL()+"/fault", "", `{"stale":true,"index":1}`, 200)
	assert.Equal(t, read(t, c, 0, 0), "1: 1")
	assert.Equal(t, read(t, c, 3, 1), "1:")
	c.ServeCurrent()
	assert.Equal(t, read(t, c, 0, 0), "3: 3")
	dropped := inBackground("GET", c.URL()+"/v1/tickets?after=3&wait=60000", "", "")
	eventually(t, "watch", func() bool { return c.Record().Waiting == 1 })
	mustSend(t, "POST", c.URL()+"/fault", "", `{"down":true}`, 200)
	assert.Assert(t, <-dropped != nil)
	_, err := send("GET", c.URL()+"/v1/tickets", "", "")
	assert.Assert(t, err != nil)
	c.SetDown(false)
	assert.Equal(t, read(t, c, 2, 0), "3: 3")
}

// Guards against a limit that forgets watches which have waited for more than a second.
func TestCallLimit(t *testing.T) {
	clock := &testClock{}
	c := start(t, NewConfig(WithRateLimit(3), WithClock(clock.now)))
	url := c.URL() + "/v1/tickets?after=0"
	for i := range 2 {
		inBackground("GET", url+"&wait=60000", "", "")
		eventually(t, "watch", func() bool { return c.Record().Waiting == i+1 })
	}
	for _, want := range []int{200, 429} {
		mustSend(t, "GET", url, "", "", want)
	}
	clock.advance(time.Second)
	for _, want := range []int{200, 429} {
		mustSend(t, "GET", url, "", "", want)
	}
	publish(t, c, teams(1, "a"))
	eventually(t, "end of the watches", func() bool { return c.Record().Waiting == 0 })
	for _, want := range []int{200, 200, 429} {
		mustSend(t, "GET", url, "", "", want)
	}
	rec := c.Record()
	assert.Equal(t, rec.Refused, 3)
	assert.Equal(t, rec.PeakCalls, 3)
}

// Guards against an answer over 1 MB and against a reader that misses the tickets left out.
func TestPages(t *testing.T) {
	c := start(t, NewConfig())
	for i := 1; i <= 3; i++ {
		_, err := c.PublishJSON(fmt.Appendf(nil, `{"number":%d,"objects":[{"kind":"team","name":"%d","pad":%q}]}`,
			i, i, strings.Repeat("x", maxPageBytes/2-1000)))
		assert.NilError(t, err)
	}
	assert.Equal(t, read(t, c, 0, 0), "2: 1 2")
	assert.Equal(t, read(t, c, 2, 0), "3: 3")
}

func TestLoadTickets(t *testing.T) {
	dir := t.TempDir()
	write := func(name, data string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600))
	}
	write("1.json", `{"number":1,"objects":[]}{"number":2,"objects":[]}`)
	write("2.json", `[{"number":3,"objects":[]}]`)
	c := start(t, NewConfig())
	assert.NilError(t, c.Load(dir))
	assert.Equal(t, read(t, c, 0, 0), "3: 1 2 3")
	write("3.json", `{"number":4,"objects":[]}`)
	assert.NilError(t, c.Load(dir))
	assert.Equal(t, read(t, c, 0, 0), "4: 1 2 3 4")
	write("4.json", `{`)
	assert.ErrorContains(t, c.Load(dir), "4.json")
}

func TestHostList(t *testing.T) {
	clock := &testClock{}
	h := start(t, NewHosts(WithLag(time.Second), WithClock(clock.now)))
	list := func() (s string) {
		var got hostsResponse
		a := mustSend(t, "GET", h.URL()+"/v1/hosts", "", "", 200)
		assert.NilError(t, json.Unmarshal([]byte(a.body), &got))
		for _, host := range got.Hosts {
			s += fmt.Sprintf("%s %s;", host.Name, host.State)
		}
		return s
	}
	h.Set(Host{Name: "b"}, Host{Name: "a"})
	assert.Equal(t, list(), "")
	clock.advance(time.Second)
	assert.Equal(t, list(), "a live;b live;")
	h.Leave("a")
	h.Remove("b")
	assert.Equal(t, list(), "a live;b live;")
	clock.advance(time.Second)
	assert.Equal(t, list(), "a leaving;")
	mustSend(t, "POST", h.URL()+"/fault", "", `{"stale":true,"lag":0}`, 200)
	h.Set(Host{Name: "c"})
	assert.Equal(t, list(), "a leaving;")
	mustSend(t, "POST", h.URL()+"/fault", "", `{"stale":false}`, 200)
	assert.Equal(t, list(), "a leaving;c live;")
}
