package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamcove.example/core/wire"
)

// maxPendingChanges bounds the changes that a host list does not show yet; the oldest are
// shown early.
const maxPendingChanges = 1 << 16

// States of a host.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	Name    wire.HostID       `json:"name"`
	Role    wire.Role         `json:"role"`
	Address wire.Address      `json:"address"`
	Region  wire.RegionID     `json:"region"`
	Centre  wire.DataCentreID `json:"centre"`
	State   string            `json:"state"`
}

// Hosts stands in for the platform's host list.
type Hosts struct {
	platform
	visible map[wire.HostID]Host
	latest  map[wire.HostID]Host
	pending []hostChange // oldest first
	lag     time.Duration
	frozen  bool
}

type hostChange struct {
	at      time.Time
	host    Host
	removed bool
}

// NewHosts returns a host list that is not started and empty.
func NewHosts(opts ...Option) *Hosts {
	h := &Hosts{visible: map[wire.HostID]Host{}, latest: map[wire.HostID]Host{}}
	h.init(opts, h.serve)
	h.lag = h.cfg.lag
	h.server.onFault = func(f *Fault) {
		h.applyCommon(f)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.applyDue()
		consumeMillis(&h.lag, &f.Lag)
		consume(&h.frozen, &f.Stale)
	}
	return h
}

// Set adds hosts or replaces those with the same names; an empty state means live.
func (h *Hosts) Set(hosts ...Host) {
	for _, host := range hosts {
		if host.State == "" {
			host.State = Live
		}
		h.addChange(hostChange{host: host})
	}
}

// Remove takes hosts off the list.
func (h *Hosts) Remove(names ...wire.HostID) {
	for _, name := range names {
		h.addChange(hostChange{host: Host{Name: name}, removed: true})
	}
}

// Leave marks hosts as leaving; unknown names are ignored.
func (h *Hosts) Leave(names ...wire.HostID) {
	for _, name := range names {
		h.mu.Lock()
		host, ok := h.latest[name]
		h.mu.Unlock()
		if ok {
			host.State = Leaving
			h.Set(host)
		}
	}
}

// Load replaces the list by that in a JSON file of the form that the list is served in.
func (h *Hosts) Load(path string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load hosts from %s: %w", path, err)
		}
	}()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var in hostsResponse
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	h.mu.Lock()
	var gone []wire.HostID
	for name := range h.latest {
		if !slices.ContainsFunc(in.Hosts, func(host Host) bool { return host.Name == name }) {
			gone = append(gone, name)
		}
	}
	h.mu.Unlock()
	h.Remove(gone...)
	h.Set(in.Hosts...)
	return nil
}

func (h *Hosts) addChange(c hostChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.at = h.cfg.now()
	c.apply(h.latest)
	h.pending = append(h.pending, c)
	if len(h.pending) > maxPendingChanges {
		h.pending[0].apply(h.visible)
		h.pending = h.pending[1:]
	}
}

func (c hostChange) apply(hosts map[wire.HostID]Host) {
	if c.removed {
		delete(hosts, c.host.Name)
		return
	}
	hosts[c.host.Name] = c.host
}

// applyDue shows the changes that are old enough; the caller holds h.mu.
func (h *Hosts) applyDue() {
	if h.frozen {
		return
	}
	due := h.cfg.now().Add(-h.lag)
	n := 0
	for n < len(h.pending) && !h.pending[n].at.After(due) {
		h.pending[n].apply(h.visible)
		n++
	}
	h.pending = h.pending[n:]
}

type hostsResponse struct {
	Hosts []Host `json:"hosts"`
}

func (h *Hosts) serve(_ context.Context, rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != "/v1/hosts" || !rc.IsGet() {
		writeError(rc, fasthttp.StatusNotFound, "no such path")
		return
	}
	h.mu.Lock()
	h.applyDue()
	h.countRead("/v1/hosts")
	list := make([]Host, 0, len(h.visible))
	for _, host := range h.visible {
		list = append(list, host)
	}
	h.mu.Unlock()
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(string(a.Name), string(b.Name)) })
	writeJSON(rc, fasthttp.StatusOK, hostsResponse{list})
}
