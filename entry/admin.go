package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

// Dump is the state of a router that the admin listener serves as JSON at /state.
type Dump struct {
	Name      wire.HostID                      `json:"name"`
	Config    fleet.Version                    `json:"config"`    // version of the configuration, 0 if there is none
	Revisions [2]fleet.Revision                `json:"revisions"` // in the operator's area and the upstreams' area
	Eras      [2]fleet.Era                     `json:"eras"`      // era of the store in which each revision counts
	Ages      [2]int64                         `json:"ages"`      // milliseconds since the last read of each area
	Out       []wire.DataCentreID              `json:"out"`       // data centres out of service
	Requests  int64                            `json:"requests"`  // requests in progress
	Draining  bool                             `json:"draining"`
	Alive     []wire.HostID                    `json:"alive"` // routers that may own queues
	Upstreams map[wire.UpstreamID]UpstreamDump `json:"upstreams"`
	Queues    map[shard.ID]batch.View          `json:"queues"`
	Owners    map[shard.ID]wire.HostID         `json:"owners"`  // owner of each service's queue
	Strikes   map[wire.Fingerprint]int         `json:"strikes"` // upstream crashes by request fingerprint
	Parts     map[wire.Fingerprint]int         `json:"parts"`   // upstream crashes since the last survival, by prompt part
}

// UpstreamDump is the state of one upstream as a router sees it.
type UpstreamDump struct {
	Service   fleet.ServiceID   `json:"service"`
	Centre    wire.DataCentreID `json:"centre"`
	InFlight  int               `json:"flight"`  // requests in flight
	OpenConns int               `json:"open"`    // open connections, including idle ones
	Cold      bool              `json:"cold"`    // recently started, or suspected to be
	Ejected   bool              `json:"barred"`  // excluded after failures (outlier ejection)
	Limit     *float64          `json:"limit"`   // requests per second that it takes from all routers, null if it names none
	Penalty   float64           `json:"penalty"` // extra load, in requests, for recent failures and latency
	Told      *LoadDump         `json:"told"`    // load that it told last, null if it told none
	Speed     float64           `json:"speed"`   // time of its work relative to the other upstreams of the service, as learnt
}

// LoadDump is the load that an upstream has told.
type LoadDump struct {
	Running int   `json:"running"` // requests of all routers
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	Pace    int   `json:"pace"` // time of its work in percent of the usual time, 0 if not told
	Age     int64 `json:"age"`  // milliseconds since it was told
}

// adminHandler serves the metrics, the state dump and explanations.
func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		text, err := s.metrics.Text()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write(text)
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s.Dump(time.Now())); err != nil {
			s.log.Debug("could not write state dump", "err", err)
		}
	})
	mux.HandleFunc("POST /explain", s.serveExplain)
	return mux
}

// Dump returns the router's state at the given time.
func (s *Server) Dump(now time.Time) Dump {
	v := s.view.Load()
	d := Dump{
		Name: s.cfg.Name, Requests: s.inFlight.Load(), Draining: s.draining.Load(),
		Upstreams: map[wire.UpstreamID]UpstreamDump{},
		Queues:    map[shard.ID]batch.View{}, Owners: map[shard.ID]wire.HostID{},
		Strikes: s.strikes.Counts(now), Parts: map[wire.Fingerprint]int{},
	}
	for p, n := range s.parts.Counts(now) {
		d.Parts[p.Print] += n
	}
	for _, r := range s.peers.ownerCandidates(now) {
		d.Alive = append(d.Alive, r.Name)
	}
	if v.Config != nil {
		d.Config = v.Config.Version
	}
	for i, at := range v.At {
		d.Revisions[i], d.Eras[i] = at.Revision, at.Era
	}
	for _, a := range platform.Areas {
		d.Ages[a] = v.age(a).Milliseconds()
	}
	for c := range v.OutCentres {
		d.Out = append(d.Out, c)
	}
	for _, us := range v.Upstreams {
		for _, u := range us {
			ud := s.targets.get(u).dump(now)
			if rate, ok := s.limits.Rate(u.ID); ok {
				ud.Limit = &rate
			}
			d.Upstreams[u.ID] = ud
		}
	}
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	for id, sq := range s.queues.byID {
		sq.mu.Lock()
		d.Queues[id] = sq.q.View()
		sq.mu.Unlock()
		d.Owners[id] = s.queues.owner(id)
	}
	return d
}

// dump returns the state of the upstream.
func (t *target) dump(now time.Time) UpstreamDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := UpstreamDump{
		Service: t.Service, Centre: t.Centre, InFlight: t.inFlight, OpenConns: t.openConns, Cold: now.Before(t.coldUntil),
		Ejected: t.outlier.Ejected(now), Penalty: t.outlier.Penalty(now), Speed: t.load.Speed(now),
	}
	if r, age, ok := t.load.Last(now); ok {
		d.Told = &LoadDump{Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, Pace: int(r.Pace), Age: age.Milliseconds()}
	}
	return d
}
