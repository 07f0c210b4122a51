package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// cacheTimeout bounds a call for the cache events of an engine, which answers within
	// milliseconds.
	cacheTimeout = 250 * time.Millisecond
	// cacheAge is the time for which the events of an engine answer for several streams that
	// are taken up at the same time.
	cacheAge = time.Second
	// maxCachesAsked bounds the engines that are asked for one stream: those that its prompt
	// prefers, which it spills over to first.
	maxCachesAsked = 16
	// maxCacheBytes bounds the answer of an engine.
	maxCacheBytes = 4 << 20
)

// cacheReads holds what engines have read lately, for streams whose record is lost. It is safe
// for concurrent use; the zero value is empty.
type cacheReads struct {
	mu       sync.Mutex
	byEngine map[wire.UpstreamID]*cacheRead
}

// cacheRead is one call for the cache events of an engine.
type cacheRead struct {
	began time.Time
	done  chan struct{} // closed at its end
	parts map[string]bool
	err   error
}

// read returns the ids of the prompt segments that an engine has read lately.
func (c *cacheReads) read(s *Server, u fleet.Upstream) (map[string]bool, error) {
	now := time.Now()
	c.mu.Lock()
	r := c.byEngine[u.ID]
	if r == nil || now.Sub(r.began) > cacheAge {
		r = &cacheRead{began: now, done: make(chan struct{})}
		if c.byEngine == nil {
			c.byEngine = map[wire.UpstreamID]*cacheRead{}
		}
		for id, old := range c.byEngine {
			if now.Sub(old.began) > cacheAge {
				delete(c.byEngine, id)
			}
		}
		c.byEngine[u.ID] = r
		s.background.Go(func() {
			defer close(r.done)
			r.parts, r.err = s.readCache(u)
		})
	}
	c.mu.Unlock()
	<-r.done
	return r.parts, r.err
}

// readCache asks an engine for its cache events.
func (s *Server) readCache(u fleet.Upstream) (parts map[string]bool, err error) {
	began := time.Now()
	if s.notices.Leaving(began, u) || s.notices.Wait(began, u) > 0 || !s.takeLimited(began, u) {
		return nil, errors.New("the engine takes no request now")
	}
	req, err := platform.NewCacheEventsRequest(u)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cacheTimeout)
	defer cancel()
	resp, err := s.queues.callClient.Do(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	s.recordNotices(u, platform.ParseResponse(resp.StatusCode, resp.Header), began)
	h, whole, err := readHeld(resp.Body, resp.ContentLength, maxCacheBytes, s.heldAnswers)
	defer h.release()
	if err == nil && !whole {
		err = errResponseTooLarge
	}
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New("unexpected HTTP status")
	}
	ids, err := platform.ParseCacheEvents(h.data)
	if err != nil {
		return nil, err
	}
	parts = make(map[string]bool, len(ids))
	for _, id := range ids {
		parts[id] = true
	}
	return parts, nil
}

// cacheSearch is what the caches of the engines of a service show about a prompt.
type cacheSearch struct {
	engines int                     // of the service
	asked   int                     // those that the prompt prefers
	failed  int                     // those of them that did not answer
	readers []fleet.SoftwareVersion // of the engines that have read the prompt
}

// searchCaches looks for the last segment of the prompt, which belongs to this request or its
// session alone, in the caches of the engines of a service.
func (x *exchange) searchCaches(svc fleet.ServiceID) (found cacheSearch) {
	us := x.view.Upstreams[svc]
	found.engines = len(us)
	if !x.route.Engine || len(x.spec.PromptSegments) == 0 {
		return found
	}
	own := x.spec.PromptSegments[len(x.spec.PromptSegments)-1].ID
	es := make([]route.Engine, len(us))
	for i, u := range us {
		es[i] = route.Engine{Upstream: u.ID}
	}
	order := route.RendezvousOrder(route.PromptKey(x.sharedSegmentIDs()...), es)
	order = order[:min(len(order), maxCachesAsked)]
	found.asked = len(order)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, i := range order {
		wg.Go(func() {
			parts, err := x.s.origins.reads.read(x.s, us[i])
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				x.s.log.Debug("could not read cache events", "upstream", us[i].ID, "err", err)
				x.s.incCounter("cache_reads_failed")
				found.failed++
			case parts[own]:
				found.readers = append(found.readers, us[i].Software)
			}
		})
	}
	wg.Wait()
	return found
}
