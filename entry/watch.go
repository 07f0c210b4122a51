package entry

import (
	"context"
	"errors"
	"time"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/platform"
)

const (
	// watchWait is the time for which the store holds a watch without changes. It
	// bounds how long a connection that has gone silent goes unnoticed.
	watchWait = 1500 * time.Millisecond
	// watchBatchDelay is the time after a change before the next watch, so that changes
	// that come in a row are read with one call of each router. The users' shortest
	// bound on a change is two seconds.
	watchBatchDelay = 200 * time.Millisecond
	// minReadRetryDelay and maxReadRetryDelay bound the pause between failed reads of the store.
	minReadRetryDelay = 50 * time.Millisecond
	maxReadRetryDelay = 400 * time.Millisecond
)

// watch follows one area of the store until ctx is done.
func (s *Server) watch(ctx context.Context, store *platform.Store, area platform.Area) error {
	var at fleet.Revision
	pause := minReadRetryDelay
	listed := false
	for ctx.Err() == nil {
		// What a peer has passed on meanwhile need not be read again.
		if v := s.view.Load(); listed && v.Revisions[area] > at {
			at = v.Revisions[area]
		}
		page, err := s.read(ctx, store, area, at, listed)
		switch {
		case err == nil:
			s.applyUpdate(ctx, update{area: area, page: page, full: !listed})
			at, listed, pause = max(page.At, at), true, minReadRetryDelay
			if len(page.Records) > 0 {
				clock.Sleep(ctx, watchBatchDelay)
			}
			continue
		case errors.Is(err, platform.ErrCompacted):
			s.log.Warn("history of the store is gone, reading all", "area", area, "revision", at)
			s.count("store_compacted", "area", area.String())
			listed = false
			continue
		}
		if ctx.Err() != nil {
			break
		}
		s.log.Debug("store not read", "area", area, "err", err)
		s.count("store_failed", "area", area.String())
		s.applyUpdate(ctx, update{area: area, storeLost: true})
		if !clock.Sleep(ctx, pause) {
			break
		}
		pause = min(2*pause, maxReadRetryDelay)
	}
	return ctx.Err()
}

func (s *Server) read(ctx context.Context, store *platform.Store, area platform.Area, at fleet.Revision, listed bool) (platform.Page, error) {
	if !listed {
		return store.List(ctx, area)
	}
	wait := watchWait
	if s.storeLost(area) {
		// The store answers at once, so that its return is known from then on and not
		// from the next change on: lapsed entries are kept for a time after it.
		wait = 0
	}
	return store.Watch(ctx, area, at, wait)
}
