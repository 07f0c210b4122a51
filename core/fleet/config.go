package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"hornbeamcove.example/core/wire"
)

// Config is one version of the configuration. It must not change after Index.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	routesByHost map[string][]*Route // longest prefix first
	servicesByID map[ServiceID]*Service
	teamsByKey   map[string]*Team
}

// Index validates c and builds its lookup tables. The error names the first invalid
// object.
func (c *Config) Index() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("configuration %d: %w", c.Version, err)
		}
	}()
	if c.Version <= 0 {
		return errors.New("version is not positive")
	}
	c.servicesByID = make(map[ServiceID]*Service, len(c.Services))
	for i := range c.Services {
		c.servicesByID[c.Services[i].ID] = &c.Services[i]
	}
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		if err = c.checkRoute(r); err != nil {
			return err
		}
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, rs := range c.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	c.teamsByKey = make(map[string]*Team)
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			c.teamsByKey[k] = &c.Teams[i]
		}
	}
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("route %s: prefix %q does not begin and end with a slash", r.ID, r.PathPrefix)
	}
	if len(r.Split) == 0 {
		return fmt.Errorf("route %s: no service", r.ID)
	}
	for _, w := range r.Split {
		if c.servicesByID[w.Service] == nil {
			return fmt.Errorf("route %s: unknown service %s", r.ID, w.Service)
		}
	}
	for i, s := range r.Stages {
		svc := c.servicesByID[s.Service]
		if svc == nil || svc.StageCalls == nil {
			return fmt.Errorf("route %s: stage %d: service %s takes no stage calls", r.ID, i, s.Service)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("route %s: stage %d depends on stage %d, which is not an earlier stage", r.ID, i, a)
			}
		}
	}
	return nil
}

// Match returns the route of host whose path prefix is the longest that path begins
// with, or nil if there is none. The host may be in any case and have a port.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given id, or nil.
func (c *Config) Service(id ServiceID) *Service { return c.servicesByID[id] }

// Team returns the team that an API key belongs to, or nil.
func (c *Config) Team(key string) *Team { return c.teamsByKey[key] }

// ChooseService returns the service for a request, chosen by weight. draw is a random
// number in [0, 1). If all weights are 0, it returns the first service.
func (r *Route) ChooseService(draw float64) ServiceID {
	total := 0
	for _, w := range r.Split {
		total += max(w.Weight, 0)
	}
	point := draw * float64(total)
	for _, w := range r.Split {
		if point -= float64(max(w.Weight, 0)); point < 0 {
			return w.Service
		}
	}
	return r.Split[0].Service
}

// Allowed reports whether a request of route r and team t (nil for none) may run
// in region. If both restrict the regions, both must allow it.
func Allowed(r *Route, t *Team, region wire.RegionID) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return t == nil || len(t.Regions) == 0 || slices.Contains(t.Regions, region)
}
