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
	// watchWait is the time for which the store holds a watch (a long poll) without
	// changes. It bounds how long a dead connection goes unnoticed.
	watchWait = 1500 * time.Millisecond
	// watchBatchDelay is the pause between a change and the next watch, so that each
	// router reads a burst of changes with one call. The strictest requirement on a change
	// is that it takes effect within two seconds.
	watchBatchDelay = 200 * time.Millisecond
	// minReadRetryDelay and maxReadRetryDelay bound the exponential back-off between
	// failed reads of the store.
	minReadRetryDelay = 50 * time.Millisecond
	maxReadRetryDelay = 400 * time.Millisecond
	// maxWatchFailures is the number of failed watches in a row from which the area is
	// listed: the changes may have become too many to be answered in time.
	maxWatchFailures = 3
	// slowReadDivisor divides the time limit of a read of the store to give the time that its
	// parts other than the wait may take before it is logged.
	slowReadDivisor = 8
)

// watch follows one area of the store until ctx is done.
func (s *Server) watch(ctx context.Context, store *platform.Store, area platform.Area) error {
	var at fleet.Position
	retryDelay := minReadRetryDelay
	listed := false
	failures := 0 // failed reads in a row
	for ctx.Err() == nil {
		// Changes that a peer has sent since the last read need not be read again.
		if v := s.view.Load(); listed && at.Before(v.At[area]) {
			at = v.At[area]
		}
		page, err := s.read(ctx, store, area, at.Revision, listed, failures > 0)
		switch {
		case err == nil && listed && page.Era != at.Era:
			s.log.Warn("store is of another era, reading the whole area", "area", area, "era", page.Era, "before", at.Era)
			listed = false
			continue
		case err == nil:
			s.applyUpdate(ctx, update{area: area, page: page, full: !listed})
			at, listed, retryDelay, failures = page.Position, true, minReadRetryDelay, 0
			if len(page.Records) > 0 {
				clock.Sleep(ctx, watchBatchDelay)
			}
			continue
		case errors.Is(err, platform.ErrCompacted):
			s.log.Warn("store history compacted, reading the whole area", "area", area, "revision", at.Revision)
			s.incCounter("store_compacted", "area", area.String())
			listed = false
			continue
		}
		if ctx.Err() != nil {
			break
		}
		s.log.Debug("could not read store", "area", area, "err", err)
		s.incCounter("store_failed", "area", area.String())
		if failures == 0 && listed && !s.storeLost(area) {
			failures++ // the connection may have failed and not the store, so ask once more on a new one
			continue
		}
		s.applyUpdate(ctx, update{area: area, storeLost: true, err: err})
		if failures++; failures >= maxWatchFailures || errors.Is(err, platform.ErrPartialAnswer) {
			listed = false // a listing doesn't grow with the changes since the last read
		}
		if !clock.Sleep(ctx, retryDelay) {
			break
		}
		retryDelay = min(2*retryDelay, maxReadRetryDelay)
	}
	return ctx.Err()
}

// recordRead records how long a read of the store took, and logs one that took long before
// the request was written or after the answer began to arrive.
func (s *Server) recordRead(path string, t platform.Timing, limit time.Duration) {
	s.scope().Timer("store_read_time").Record(t.Ended)
	if slow := limit / slowReadDivisor; t.Written > slow || t.Answered > 0 && t.Ended-t.Answered > slow {
		s.log.Warn("slow read of the store", "call", path, "timing", t, "lag_ms", s.lag.current().Milliseconds())
		s.incCounter("store_reads_slow")
	}
}

// read lists the whole area or, if it has been listed, returns the changes after revision at. It
// waits for them unless the last read failed.
func (s *Server) read(ctx context.Context, store *platform.Store, area platform.Area, at fleet.Revision, listed, failed bool) (platform.Page, error) {
	if !listed {
		return store.List(ctx, area)
	}
	wait := watchWait
	if failed || s.storeLost(area) {
		// Without a wait the store's return is noticed at once and not with the next
		// change. The grace period of lapsed entries starts when it is noticed.
		wait = 0
	}
	return store.Watch(ctx, area, at, wait)
}
