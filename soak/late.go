package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"hornbeamcove.example/fakes/site"
)

const (
	// configLimit is the time after which a configuration is in force at all routers.
	configLimit = 3 * time.Second
	// denialInterval is the time between two probes of all routers for denials.
	denialInterval = 250 * time.Millisecond
	// denialTimeout bounds one probe.
	denialTimeout = time.Second
	// largeConfigRoutes is the number of routes that a large configuration adds.
	largeConfigRoutes = 800
)

// denial is a 404 on a route that the newest configuration had long added.
type denial struct {
	router  string
	version int
	put, at time.Time // when the version was written, and when the answer came
}

// watchDenials sends requests on the route of the newest configuration to all routers until
// ctx is done.
func (r *Run) watchDenials(ctx context.Context) (found []denial) {
	client := &http.Client{Timeout: denialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, rt := range r.routers {
			version, put := r.newestConfig()
			if version > 1 && time.Since(put) > configLimit && r.denies(client, rt, version) {
				if now, _ := r.newestConfig(); now == version {
					found = append(found, denial{rt.name, version, put, time.Now()})
				}
			}
		}
		select {
		case <-time.After(denialInterval):
		case <-ctx.Done():
		}
	}
	return found
}

// newestConfig returns the version written last and when that was.
func (r *Run) newestConfig() (version int, put time.Time) {
	r.events.mu.Lock()
	defer r.events.mu.Unlock()
	return r.configVersion, r.configPut
}

// denies reports whether a router answers 404 on the route that a version has added.
func (r *Run) denies(client *http.Client, rt *router, version int) bool {
	req, err := newProbe(rt, version)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false // the router is down
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNotFound
}

// newProbe returns a request on the route that a version of the configuration has added.
func newProbe(rt *router, version int) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%d/", rt.callers, version), nil)
	if err != nil {
		return nil, err
	}
	req.Host = addedHost
	req.Header.Set(site.HeaderID, "probe-"+rt.name)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	return req, nil
}

// checkDenials returns the denials that no fault explains. A router without the store can't
// follow, but it knows that, and answers 503. Only one that was paused, or to which the
// restored store no longer shows the version, can't know.
func (r *Run) checkDenials(found []denial) (violations []string) {
	for _, d := range found {
		if !r.events.affected(exposure{d.put, d.at, d.router, nil}, scopeRouters, scopeRestore) {
			violations = append(violations, fmt.Sprintf("late: %s answered 404 on the route of version %d, %v after it was written", d.router, d.version, d.at.Sub(d.put)))
		}
	}
	return slices.Compact(violations)
}

// largeConfig returns routes that make a configuration large.
func largeConfig() (rs []site.Route) {
	for i := range largeConfigRoutes {
		rs = append(rs, site.Route{Name: fmt.Sprint("bulk-", i), Host: fmt.Sprintf("bulk-%d.example", i), Prefix: "/", Kind: "safe", Service: "desk", Timeout: 6000, TargetLatency: 300, Attempts: 1})
	}
	return rs
}

// slowStore makes the store send its answers in small steps, so that a large one takes
// seconds.
func slowStore(r *Run, rng *rand.Rand, e *event) {
	if !r.claims.claim("pace") {
		r.events.remove(e)
		return
	}
	defer r.claims.release("pace")
	r.site.Store.SetPace(site.Pace{Bytes: 4 << 10, Pause: randomDuration(rng, 5*time.Millisecond, 60*time.Millisecond)})
	time.Sleep(randomDuration(rng, time.Second, 6*time.Second))
	r.site.Store.SetPace(site.Pace{})
}

// oddEntries are entries among those of the replicas that another writer left.
var oddEntries = []string{
	`{"service":"desk","address":"127.0.0.1:70000","zone":"a","version":"v1","slots":8,"state":"ready"}`,
	`{"service":"desk","address":"127.0.0.1:1","zone":"a","version":"v1","slots":1e400,"state":"ready"}`,
	`{"service":"desk","address":"127.0.0.1:0","zone":"a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":1e300}`,
	`{"service":"desk","born":99999999999999999999}`,
	"\xff\x00",
}

// putOddEntry writes such an entry for a while.
func putOddEntry(r *Run, rng *rand.Rand, e *event) {
	if !r.claims.claim("odd") {
		r.events.remove(e)
		return
	}
	defer r.claims.release("odd")
	value := []byte(oddEntries[rng.IntN(len(oddEntries))])
	if rng.IntN(3) == 0 {
		value = slices.Repeat([]byte("["), 1<<17)
	}
	r.site.Store.Put("servers/odd", value)
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 4*time.Second))
	r.site.Store.Delete("servers/odd")
}
