package crash

import (
	"cmp"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const (
	// partCrashLimit is the number of crashes, apart in time and without a survival in
	// between, at which a part is quarantined. Sound requests that ran beside the one that
	// caused a crash are suspected too, and repeat on other upstreams, so two are too few.
	partCrashLimit = 3
	// crashSpan is the time within which crashes of several upstreams count as one: they
	// may have a common cause, such as the loss of a rack.
	crashSpan = 250 * time.Millisecond
	// sameCrashSpan is the time within which reports about an upstream process are about
	// the same crash. An upstream whose new start isn't known yet crashes again later.
	sameCrashSpan = time.Second
	// suspectLifetime is the time from the last crash until a part is no longer suspected,
	// and quarantineLifetime that until its quarantine ends.
	suspectLifetime    = 2 * time.Minute
	quarantineLifetime = 10 * time.Minute
	// trialDelay is the time since the last crash after which one request with a part that
	// has just been quarantined is tried again. It doubles with each further crash, so that
	// a bad part crashes few more upstreams and a sound one is served again soon.
	trialDelay = 30 * time.Second
	// trialTime is the longest time that a trial may take before the next one.
	trialTime = 10 * time.Second
	// maxParts bounds the suspected parts and the survivals of parts that are kept, and
	// maxPartCrashes the crashes that are kept of each part.
	maxParts       = 4096
	maxPartCrashes = 16 // more than a bad part causes before all routers know it
	// reportAge is the age up to which crashes of parts that are not quarantined are
	// reported to other routers. It allows for lost heartbeats.
	reportAge = 3 * time.Second
	// MaxTransit is the longest time that a report may take to another router, which can't
	// tell it from the age of what is reported. Survivals count from that much earlier, or
	// a report that goes back and forth would move them later each time. Callers of Merge
	// must discard older reports.
	MaxTransit = 500 * time.Millisecond
	// minCommonRequests is the number of requests of a route after which a part that all of
	// them have is taken for one that belongs to the route.
	minCommonRequests = 10
	// maxRoutes bounds the routes whose requests are counted.
	maxRoutes = 4096
	// maxReportedParts bounds the crashed and the survived parts of a report.
	maxReportedParts = 64
)

// Part is a part of the prompts of a service's requests. Print is the hash of the part's
// ID, 16 hexadecimal digits.
type Part struct {
	Service fleet.ServiceID
	Print   wire.Fingerprint
}

// SharedParts returns the parts of a request that other requests may share.
func SharedParts(service fleet.ServiceID, spec *fleet.RequestSpec) []Part {
	segments := spec.SharedSegments()
	parts := make([]Part, len(segments))
	for i, s := range segments {
		d := xxhash.New()
		_, _ = d.WriteString(s.ID)
		parts[i] = Part{service, wire.Fingerprint(hex.EncodeToString(d.Sum(nil)))}
	}
	return parts
}

// Parts finds the prompt parts that crash upstreams, whatever else a request holds, from
// the crashes and survivals of the requests with each part. A request survives if it
// completes, or if it goes on for a while after it began to be answered.
//
// A part is quarantined after partCrashLimit crashes without a survival in between, apart
// from those that another quarantined part explains: requests that ran beside a bad one
// are suspected with it. If no request of the service survives any more, the cause is
// rather the service, and parts whose answers went on before are not quarantined. Neither
// is a part that all requests of a route have, which would stop the route.
//
// Parts is safe for concurrent use. The zero value is ready to use.
type Parts struct {
	mu       sync.Mutex
	suspects map[Part]*partCrashes
	// quarantine holds the suspects that are quarantined until they expire, except those
	// that survived before while no other request of the service survives.
	quarantine map[Part]bool
	cleared    map[Part]partSurvival // survivals of suspects, for reports
	// survived holds when the last survivor with each part began to be answered, and
	// progressed when the answer to a request with the part last made progress.
	survived, progressed partTimes
	// survivals holds when the last survivor of each service began to be answered.
	survivals map[fleet.ServiceID]time.Time
	requests  map[fleet.RouteID]int // requests that arrived, by route
}

// partCrashes holds the crashes of a part since its last survival, in the order of time.
type partCrashes struct {
	crashes []upstreamCrash
	triedAt time.Time // start of the last trial at this router

	// route is the route of the first request with the part since the first crash, and
	// requests the number of them. before is the number of the route's requests until then.
	// Requests with a quarantined part don't count.
	route            fleet.RouteID
	requests, before int
}

// partSurvival is the last survival of a request with a part that was suspected.
type partSurvival struct {
	began time.Time // when the request began to be answered
	// neededAt is when the survival was new, or last contradicted another router's report.
	neededAt time.Time
}

type upstreamCrash struct {
	upstream wire.UpstreamID
	born     int64 // see Strike
	at       time.Time
	// requests is the number of requests with the part that met the crash, at the router
	// that knows of most.
	requests int
}

// same reports whether two reports are about the same crash.
func (c upstreamCrash) same(o upstreamCrash) bool {
	return c.upstream == o.upstream && c.born == o.born && c.at.Sub(o.at).Abs() < sameCrashSpan
}

// count returns the number of crashes that are apart in time.
func (s *partCrashes) count() int { return countApart(s.crashes) }

// countApart returns the number of crashes that are apart in time. They are in the order
// of time.
func countApart(crashes []upstreamCrash) (n int) {
	var counted time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(counted) >= crashSpan {
			n++
			counted = c.at
		}
	}
	return n
}

// weight returns the number of crashes divided by the mean number of requests with the part
// that met each. One request is enough for a crash, so the cause is rather the part that few
// of the requests have that met it.
func (s *partCrashes) weight() float64 {
	requests := 0
	for _, c := range s.crashes {
		requests += c.requests
	}
	n := float64(len(s.crashes))
	return n * n / float64(max(requests, 1))
}

func (s *partCrashes) last() time.Time { return s.crashes[len(s.crashes)-1].at }

// expired reports whether the part is no longer suspected or quarantined.
func (s *partCrashes) expired(now time.Time) bool {
	lifetime := suspectLifetime
	if s.count() >= partCrashLimit {
		lifetime = quarantineLifetime
	}
	return now.Sub(s.last()) > lifetime
}

// add inserts a crash, or adds to the requests that met it with a function of the number
// known before. It reports whether anything changed. If there are too many crashes, it drops
// the second: the first and the last say how long the part has been crashing upstreams.
func (s *partCrashes) add(c upstreamCrash, requests func(known int) int) bool {
	if i := slices.IndexFunc(s.crashes, c.same); i >= 0 {
		known := s.crashes[i].requests
		s.crashes[i].requests = requests(known)
		return s.crashes[i].requests != known
	}
	c.requests = requests(0)
	i, _ := slices.BinarySearchFunc(s.crashes, c.at, func(o upstreamCrash, t time.Time) int { return o.at.Compare(t) })
	s.crashes = slices.Insert(s.crashes, i, c)
	if len(s.crashes) > maxPartCrashes {
		s.crashes = slices.Delete(s.crashes, 1, 2)
	}
	return true
}

// Arrived records that a request of a route with the given parts arrived. Requests with a
// quarantined part don't count, since their callers may repeat them more often than others.
func (p *Parts) Arrived(now time.Time, route fleet.RouteID, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.ContainsFunc(parts, func(part Part) bool { return p.quarantined(now, part) }) {
		return
	}
	if p.requests == nil || len(p.requests) >= maxRoutes {
		p.requests = make(map[fleet.RouteID]int)
	}
	p.requests[route]++
	for _, part := range parts {
		s := p.suspects[part]
		if s == nil {
			continue
		}
		if s.route == "" {
			s.route, s.before = route, p.requests[route]-1
		}
		if s.route == route {
			s.requests++
		}
	}
}

// isCommon reports whether all requests of a route have the part. The caller holds mu.
func (p *Parts) isCommon(s *partCrashes) bool {
	all := p.requests[s.route] - s.before
	return all >= minCommonRequests && s.requests >= all
}

// Crashed records that an upstream, started at born, crashed at the given time while it ran
// a request with the given parts that had not survived. It returns the parts that are
// quarantined by it.
func (p *Parts) Crashed(at time.Time, upstream wire.UpstreamID, born int64, parts []Part) (quarantined []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for _, part := range parts {
		c := upstreamCrash{upstream: upstream, born: born, at: at}
		changed = p.add(at, part, c, func(known int) int { return known + 1 }) || changed
	}
	if !changed {
		return nil
	}
	return p.requarantine(at)
}

// Survived records that a request with the given parts, which began to be answered at
// the given time, survived. It ends the suspicion from crashes before that time.
func (p *Parts) Survived(now, began time.Time, service fleet.ServiceID, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordSurvival(service, began)
	changed := false
	for _, part := range parts {
		p.survived.set(part, began)
		if p.suspects[part] != nil {
			changed = p.clear(now, part, began) || changed
		}
	}
	if changed {
		p.requarantine(now)
	}
}

// lastSurvival returns when the last survivor with a part began to be answered, and false
// if none is known. The caller holds mu.
func (p *Parts) lastSurvival(part Part) (began time.Time, ok bool) {
	began = p.survived.get(part)
	if t := p.cleared[part].began; t.After(began) {
		began = t
	}
	return began, !began.IsZero()
}

// Progressed records that answers to requests with the given parts went on for a moment
// after they began. This does not end a suspicion, but speaks for another cause.
func (p *Parts) Progressed(now time.Time, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		p.progressed.set(part, now)
	}
}

// isBeyondStart reports whether some request with the part is known not to have crashed its
// upstream at once. The caller holds mu.
func (p *Parts) isBeyondStart(part Part) bool {
	_, survived := p.lastSurvival(part)
	return survived || !p.progressed.get(part).IsZero()
}

// partTimes holds times of at least the last maxParts parts. When the current map is full it
// replaces the previous one, so that the oldest are forgotten without a search.
type partTimes struct{ current, previous map[Part]time.Time }

func (m *partTimes) set(part Part, t time.Time) {
	if m.current == nil || len(m.current) >= maxParts {
		m.current, m.previous = make(map[Part]time.Time), m.current
	}
	m.current[part] = t
}

// get returns the time of a part, or the zero time.
func (m *partTimes) get(part Part) time.Time {
	if t, ok := m.current[part]; ok {
		return t
	}
	return m.previous[part]
}

// requarantine decides which suspects are quarantined and returns those that were not
// before. It begins with those whose requests all ended as soon as they began to be
// answered, and among these with those in many crashes but few requests that met them, and
// leaves out the crashes that the parts before explain. The caller holds mu.
func (p *Parts) requarantine(now time.Time) (added []Part) {
	type candidate struct {
		Part
		crashes     []upstreamCrash
		weight      float64
		beyondStart bool
	}
	var candidates []candidate
	for part, s := range p.suspects {
		if s.count() >= partCrashLimit && !s.expired(now) && !p.isCommon(s) {
			candidates = append(candidates, candidate{part, s.crashes, s.weight(), p.isBeyondStart(part)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.beyondStart != b.beyondStart {
			if a.beyondStart {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Print, b.Print), cmp.Compare(a.Service, b.Service))
	})
	before := p.quarantine
	p.quarantine = make(map[Part]bool)
	var explained []upstreamCrash
	for _, c := range candidates {
		rest := slices.DeleteFunc(slices.Clone(c.crashes), func(u upstreamCrash) bool { return slices.ContainsFunc(explained, u.same) })
		if countApart(rest) < partCrashLimit {
			continue
		}
		explained = append(explained, c.crashes...)
		p.quarantine[c.Part] = true
		if !before[c.Part] {
			added = append(added, c.Part)
		}
	}
	return added
}

// Quarantined reports whether any of the given parts is quarantined.
func (p *Parts) Quarantined(now time.Time, parts []Part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(parts, func(part Part) bool { return p.quarantined(now, part) })
}

// Suspected reports whether any of the given parts is suspected or quarantined.
func (p *Parts) Suspected(now time.Time, parts []Part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(parts, func(part Part) bool {
		s := p.suspects[part]
		return s != nil && !s.expired(now)
	})
}

// Trial reports whether one request with the given parts may run although one of them is
// quarantined, to learn whether the part still crashes upstreams. owns reports whether
// trials of a part are up to this router, so that only one router makes them.
func (p *Parts) Trial(now time.Time, parts []Part, owns func(Part) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var tried *partCrashes
	for _, part := range parts {
		if !p.quarantined(now, part) {
			continue
		}
		s := p.suspects[part]
		delay := trialDelay << (s.count() - partCrashLimit)
		if tried != nil || now.Sub(s.last()) < delay || now.Sub(s.triedAt) < trialTime || !owns(part) {
			return false
		}
		tried = s
	}
	if tried != nil {
		tried.triedAt = now
	}
	return tried != nil
}

// Counts returns the number of crashes of each suspected part.
func (p *Parts) Counts(now time.Time) map[Part]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[Part]int, len(p.suspects))
	for part, s := range p.suspects {
		if !s.expired(now) {
			counts[part] = s.count()
		}
	}
	return counts
}

// quarantined reports whether a part is quarantined. The caller holds mu.
func (p *Parts) quarantined(now time.Time, part Part) bool {
	s := p.suspects[part]
	if s == nil || !p.quarantine[part] || s.expired(now) || p.isCommon(s) {
		return false
	}
	return !p.isBeyondStart(part) || p.survivals[part.Service].After(s.crashes[0].at)
}

// add records a crash and reports whether it is new. A crash before the part's last
// survival is not recorded; the survival is reported to the router that doesn't know it.
// The caller holds mu.
func (p *Parts) add(now time.Time, part Part, c upstreamCrash, requests func(known int) int) bool {
	if began, ok := p.lastSurvival(part); ok && began.After(c.at) {
		p.keepCleared(part, partSurvival{began, now})
		return false
	}
	s := p.suspects[part]
	if s == nil || s.expired(c.at) {
		if p.suspects == nil {
			p.suspects = make(map[Part]*partCrashes)
		}
		if s == nil && len(p.suspects) >= maxParts {
			p.evict(now)
		}
		s = new(partCrashes)
		p.suspects[part] = s
	}
	return s.add(c, requests)
}

// clear removes the crashes of a part before a survival and reports whether it did
// anything. The caller holds mu.
func (p *Parts) clear(now time.Time, part Part, began time.Time) bool {
	s := p.suspects[part]
	if s != nil {
		s.crashes = slices.DeleteFunc(s.crashes, func(c upstreamCrash) bool { return c.at.Before(began) })
		if len(s.crashes) == 0 {
			delete(p.suspects, part)
		}
	}
	if !p.cleared[part].began.Before(began) {
		return s != nil
	}
	p.keepCleared(part, partSurvival{began, now})
	return true
}

// keepCleared stores the survival of a suspect for reports. The caller holds mu.
func (p *Parts) keepCleared(part Part, s partSurvival) {
	if p.cleared == nil {
		p.cleared = make(map[Part]partSurvival)
	}
	if _, ok := p.cleared[part]; !ok && len(p.cleared) >= maxParts {
		delete(p.cleared, oldest(p.cleared, func(s partSurvival) time.Time { return s.began }))
	}
	p.cleared[part] = s
}

// evict removes the expired suspects or, if there are none, the one with the fewest
// crashes, the oldest of these. The caller holds mu.
func (p *Parts) evict(now time.Time) {
	n := len(p.suspects)
	maps.DeleteFunc(p.suspects, func(_ Part, s *partCrashes) bool { return s.expired(now) })
	if len(p.suspects) < n {
		return
	}
	least := partCrashLimit
	for _, s := range p.suspects {
		least = min(least, s.count())
	}
	weakest := maps.Clone(p.suspects)
	maps.DeleteFunc(weakest, func(_ Part, s *partCrashes) bool { return s.count() > least })
	delete(p.suspects, oldest(weakest, (*partCrashes).last))
}

// oldest returns the key of m whose value has the earliest time.
func oldest[V any](m map[Part]V, at func(V) time.Time) (key Part) {
	var first time.Time
	for k, v := range m {
		if t := at(v); first.IsZero() || t.Before(first) {
			key, first = k, t
		}
	}
	return key
}

// recordSurvival records that a request of a service survived. The caller holds mu.
func (p *Parts) recordSurvival(service fleet.ServiceID, began time.Time) {
	if p.survivals == nil {
		p.survivals = make(map[fleet.ServiceID]time.Time)
	}
	if p.survivals[service].Before(began) {
		p.survivals[service] = began
	}
}

// PartsReport is what a router tells others about parts. Times are ages, since routers
// have no common clock.
type PartsReport struct {
	Crashes   []PartCrash
	Cleared   []PartSurvival
	Survivals map[fleet.ServiceID]time.Duration // age of the last survival of each service
}

// PartCrash is a crash of an upstream while it ran a request with a part.
type PartCrash struct {
	Part     Part
	Upstream wire.UpstreamID
	Born     int64
	Requests int // requests with the part that met it
	Age      time.Duration
}

// PartSurvival is the last survival of a request with a part that was suspected.
type PartSurvival struct {
	Part Part
	Age  time.Duration
}

// Report returns the recent crashes and those of quarantined parts, the parts with the
// most crashes first, and the latest survivals. Quarantined parts are reported as long as
// they are quarantined, so that a router that starts learns of them.
func (p *Parts) Report(now time.Time) (r PartsReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var parts []Part
	for part, s := range p.suspects {
		if !s.expired(now) && (p.quarantine[part] || now.Sub(s.last()) <= reportAge) {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		x, y := p.suspects[a], p.suspects[b]
		return cmp.Or(cmp.Compare(y.count(), x.count()), y.last().Compare(x.last()), cmp.Compare(a.Print, b.Print))
	})
	for _, part := range parts[:min(len(parts), maxReportedParts)] {
		for _, c := range p.suspects[part].crashes {
			r.Crashes = append(r.Crashes, PartCrash{part, c.upstream, c.born, c.requests, now.Sub(c.at)})
		}
	}
	maps.DeleteFunc(p.cleared, func(_ Part, s partSurvival) bool { return now.Sub(s.began) > quarantineLifetime })
	for part, s := range p.cleared {
		if now.Sub(s.neededAt) <= reportAge {
			r.Cleared = append(r.Cleared, PartSurvival{part, now.Sub(s.began)})
		}
	}
	slices.SortFunc(r.Cleared, func(a, b PartSurvival) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part.Print, b.Part.Print))
	})
	r.Cleared = r.Cleared[:min(len(r.Cleared), maxReportedParts)]
	maps.DeleteFunc(p.survivals, func(_ fleet.ServiceID, t time.Time) bool { return now.Sub(t) > quarantineLifetime })
	r.Survivals = make(map[fleet.ServiceID]time.Duration, len(p.survivals))
	for service, t := range p.survivals {
		r.Survivals[service] = now.Sub(t)
	}
	return r
}

// Merge adds the report of another router, which may repeat what is known. It returns the
// parts that are quarantined by it.
func (p *Parts) Merge(now time.Time, r PartsReport) (quarantined []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, age := range r.Survivals {
		if validAge(age) {
			p.recordSurvival(service, now.Add(-age-MaxTransit))
		}
	}
	changed := false
	for _, s := range r.Cleared {
		if validAge(s.Age) {
			changed = p.clear(now, s.Part, now.Add(-s.Age-MaxTransit)) || changed
		}
	}
	for _, c := range r.Crashes {
		if !validAge(c.Age) {
			continue
		}
		crash := upstreamCrash{upstream: c.Upstream, born: c.Born, at: now.Add(-c.Age)}
		changed = p.add(now, c.Part, crash, func(known int) int { return max(known, c.Requests, 1) }) || changed
	}
	if !changed {
		return nil
	}
	return p.requarantine(now)
}

// validAge reports whether a reported age can be right: nothing is kept for longer.
func validAge(age time.Duration) bool { return age >= 0 && age <= quarantineLifetime }
