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
	// NeedsKeys is whether requests need the key of a team, also if there is no team, unless their route
	// is anonymous.
	NeedsKeys bool
	Limits    Limits

	routesByHost map[string][]*Route // longest prefix first
	servicesByID map[ServiceID]*Service
	teamsByKey   map[string]*Team
	// ranks holds the ranks of requests if teams differ in rank; nil otherwise.
	ranks     map[rankPair]int
	teamRanks []int // ranks that teams have, each once
}

// rankPair is what the rank of a request follows from: the rank of its team, which goes first,
// and that of its route.
type rankPair struct{ team, route int }

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
	c.indexRanks()
	return nil
}

// indexRanks numbers the pairs of ranks that occur, in lexicographic order. If the ranks of the
// teams make no difference, the ranks of the routes stay as they are.
func (c *Config) indexRanks() {
	c.ranks, c.teamRanks = nil, nil
	if !slices.ContainsFunc(c.Teams, func(t Team) bool { return t.HasRank != c.Teams[0].HasRank || t.HasRank && t.Rank != c.Teams[0].Rank }) {
		return
	}
	// Routes and teams may be many, but their ranks are few.
	for i := range c.Teams {
		if t := &c.Teams[i]; t.HasRank && !slices.Contains(c.teamRanks, t.Rank) {
			c.teamRanks = append(c.teamRanks, t.Rank)
		}
	}
	var pairs []rankPair
	for i := range c.Routes {
		r := &c.Routes[i]
		pairs = append(pairs, r.rankPair(nil))
		for _, rank := range c.teamRanks {
			pairs = append(pairs, rankPair{rank, r.Rank})
		}
		pairs = compactRanks(pairs)
	}
	c.ranks = make(map[rankPair]int, len(pairs))
	for i, p := range pairs {
		c.ranks[p] = i
	}
}

// compactRanks sorts pairs and removes those that occur twice.
func compactRanks(pairs []rankPair) []rankPair {
	slices.SortFunc(pairs, func(a, b rankPair) int { return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route)) })
	return slices.Compact(pairs)
}

// rankPair returns the ranks of a request of route r and team t. A team without a rank has that
// of the route.
func (r *Route) rankPair(t *Team) rankPair {
	if t != nil && t.HasRank {
		return rankPair{t.Rank, r.Rank}
	}
	return rankPair{r.Rank, r.Rank}
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
			if a < 0 || a >= len(r.Stages) {
				return fmt.Errorf("route %s: stage %d depends on stage %d, which does not exist", r.ID, i, a)
			}
		}
	}
	var ok bool
	if r.stageOrder, ok = orderStages(r.Stages); !ok {
		return fmt.Errorf("route %s: stages depend on each other", r.ID)
	}
	return nil
}

// orderStages returns the indices of stages in an order in which each follows those that it depends on,
// by their numbers where there is a choice, and false if there is none.
func orderStages(stages []Stage) (order []int, ok bool) {
	done := make([]bool, len(stages))
	isReady := func(i int) bool {
		return !done[i] && !slices.ContainsFunc(stages[i].After, func(a int) bool { return !done[a] })
	}
	for len(order) < len(stages) {
		next := -1
		for i := range stages {
			if isReady(i) {
				next = i
				break
			}
		}
		if next < 0 {
			return nil, false
		}
		done[next] = true
		order = append(order, next)
	}
	return order, true
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

// RankOf returns the rank of a request of route r and team t, which is nil for an anonymous
// request; 0 is the most urgent. The team's rank takes precedence over the route's: the result is
// the position of both among the pairs that occur in c. If the teams don't differ in rank, it is
// that of the route.
func (c *Config) RankOf(r *Route, t *Team) int {
	if rank, ok := c.ranks[r.rankPair(t)]; ok {
		return rank
	}
	return r.Rank
}

// RanksOf returns the ranks that requests of route r may have.
func (c *Config) RanksOf(r *Route) (ranks []int) {
	ranks = append(ranks, c.RankOf(r, nil))
	for _, rank := range c.teamRanks {
		ranks = append(ranks, c.RankOf(r, &Team{Rank: rank, HasRank: true}))
	}
	return ranks
}

// RankLevels is the number of ranks that counts by rank tell apart.
const RankLevels = 16

// RankLevel returns the position of a rank in counts by rank. Less urgent ranks than there are
// positions count with the last one.
func RankLevel(rank int) int { return min(max(rank, 0), RankLevels-1) }

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
