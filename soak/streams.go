package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"time"

	"hornbeamcove.example/fakes/site"
)

const (
	// maxTakeUps is how often a caller takes up a stream that broke off.
	maxTakeUps = 2
	// minTakeUps is the number of streams that are taken up from which their share that goes
	// on is judged, against minGoOnRatio of the share of new streams that begin.
	minTakeUps   = 12
	minGoOnRatio = 0.5
	// minServing is the number of upstreams of a version with which a stream of it must go on.
	minServing = 2
)

// engineLife is the time during which an engine of a version was registered as ready.
type engineLife struct {
	id, version string
	from, till  time.Time
}

// versionLine is the comment in each event that names the version of its engine.
var versionLine = regexp.MustCompile(`(?m)^` + site.TagPrefix + `(\S+)\n`)

// versionsOf returns the software versions whose events an answer holds.
func versionsOf(answer string) map[string]bool {
	vs := map[string]bool{}
	for _, m := range versionLine.FindAllStringSubmatch(answer, -1) {
		vs[m[1]] = true
	}
	return vs
}

// untagged returns an answer without the versions in its events.
func untagged(answer string) string { return versionLine.ReplaceAllString(answer, "") }

// lastEvent returns the number of the last event that a record's caller has, counting those of
// the attempts before.
func (rec *requestRecord) lastEvent() int {
	return rec.after + strings.Count(rec.answer, "\n\n")
}

// origin returns the ID of the request that began the stream of a record.
func (rec *requestRecord) origin() string {
	if rec.resumes != "" {
		return rec.resumes
	}
	return rec.id
}

// takeUp sends requests that take up the stream of a record as long as it breaks off.
func (c *callers) takeUp(client *http.Client, rng *rand.Rand, rec *requestRecord) {
	began := rec.began
	for range maxTakeUps {
		left := requestTimeout - time.Since(began)
		if rec.err == nil && rec.status == http.StatusOK || !rec.abandonedAt.IsZero() || rec.atMostOnce || rec.lastEvent() == 0 || left < requestTimeout/10 {
			return
		}
		time.Sleep(randomDuration(rng, time.Millisecond, meanPause*8))
		r := c.run.routers[rng.IntN(len(c.run.routers))]
		if !c.run.isReady(r) {
			continue
		}
		again := &requestRecord{
			method: rec.method, host: rec.host, target: rec.target, body: rec.body, stream: true, attempts: rec.attempts, router: r.name,
			badPart: rec.badPart, parts: rec.parts, pieces: rec.pieces, resumes: rec.origin(), after: rec.lastEvent(),
		}
		c.add(again)
		c.send(client, r, again, left)
		rec = again
	}
}

// replaceEngine adds an engine, of another software version half of the time, and lets one
// leave: it drains, or its entry is removed while it still serves.
func replaceEngine(r *Run, rng *rand.Rand, e *event) {
	old := r.randomReplica(rng, "engine")
	if !r.claims.claim(old.ID) {
		r.events.remove(e)
		return
	}
	defer r.claims.release(old.ID)
	version := old.Version
	if rng.IntN(2) == 0 {
		version = fmt.Sprint("v", 1+rng.IntN(3))
	}
	if err := r.addEngine(version); err != nil {
		r.events.remove(e)
		return
	}
	time.Sleep(randomDuration(rng, 300*time.Millisecond, time.Second))
	r.endEngine(old)
	old.SetLeaving(true)
	if rng.IntN(3) > 0 {
		r.site.Store.PutJSON("servers/"+old.ID, old.Entry("draining"))
	} else {
		r.site.Store.Delete("servers/" + old.ID)
	}
	r.events.ban(e, "", old)
	time.Sleep(drainLimit + randomDuration(rng, 0, 2*time.Second))
	r.events.addEnd(old)
	r.site.Remove(old.Replica)
	r.removeReplica(old)
}

// checkVersions checks that no stream holds events of two software versions, in one answer or
// over its caller's attempts.
func (c *checker) checkVersions() {
	byStream := map[string]map[string]bool{}
	for _, rec := range c.r.callers.records {
		vs := byStream[rec.origin()]
		if vs == nil {
			vs = map[string]bool{}
			byStream[rec.origin()] = vs
		}
		for v := range versionsOf(rec.answer) {
			vs[v] = true
		}
	}
	for id, vs := range byStream {
		if len(vs) > 1 {
			c.fail("versions", "the stream of %s holds events of %d software versions", id, len(vs))
		}
	}
}

// checkTakeUps checks that streams which callers take up go on, at routers that ran for
// contactTime, while minServing engines of their version serve.
func (c *checker) checkTakeUps(recordsByID map[string]*requestRecord) {
	began, all, wentOn, taken := 0, 0, 0, 0
	for _, rec := range c.r.callers.records {
		if !rec.stream || rec.atMostOnce || rec.late || !rec.abandonedAt.IsZero() || rec.badPart != "" {
			continue
		}
		hasEvents := rec.lastEvent() > rec.after || rec.status == http.StatusOK && rec.err == nil
		if rec.resumes == "" {
			all++
			if hasEvents {
				began++
			}
			continue
		}
		first := recordsByID[rec.resumes]
		if first == nil || !c.served(versionsOf(first.answer), rec.began, rec.ended) || c.r.events.restarted(rec.router, rec.began.Add(-contactTime), rec.ended) {
			continue
		}
		taken++
		if hasEvents {
			wentOn++
		}
	}
	c.takenUp, c.wentOn = taken, wentOn
	if taken >= minTakeUps && float64(wentOn)/float64(taken) < minGoOnRatio*float64(began)/float64(all) {
		c.fail("lost streams", "%d of %d streams that were taken up went on; %d of %d new ones began", wentOn, taken, began, all)
	}
}

// served reports whether minServing engines of the version served in a time span, without a
// fault of theirs or of the connections to them.
func (c *checker) served(versions map[string]bool, from, till time.Time) bool {
	n := 0
	for _, l := range c.r.engines {
		exposed := exposure{from: from.Add(-crashDowntime), till: till, replicas: []string{l.id}}
		if versions[l.version] && l.from.Before(from) && (l.till.IsZero() || l.till.After(till)) &&
			!c.r.events.affected(exposed, scopeReplicaLink, scopeReplicas) {
			n++
		}
	}
	return n >= minServing
}
