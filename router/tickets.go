package router

import (
	"errors"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

// apply applies a ticket or records why it was refused. A ticket that names objects
// of a ticket that has not arrived yet stays pending until that one arrives, so
// that the state does not depend on the order of arrival.
func (c *control) apply(t wire.Ticket) {
	if c.tryTicket(t) {
		c.retryPending()
	}
}

// tryTicket applies a ticket and reports whether that succeeded. If not, it records
// the rejection and, if the ticket may become valid later, keeps it as pending.
func (c *control) tryTicket(t wire.Ticket) bool {
	next, changes, err := c.store.Apply(t)
	if err == nil {
		c.setStore(next, changes)
		return true
	}
	c.reject(t.Number, err)
	var invalid *ticket.InvalidError
	if errors.As(err, &invalid) && invalid.Pending {
		c.pending = slices.DeleteFunc(c.pending, func(x wire.Ticket) bool { return x.Number == t.Number })
		c.pending = append(c.pending, t)
		if len(c.pending) > maxRejected {
			c.r.logEvent(log.WarnLevel, "pending_dropped", "", "pending ticket dropped", "ticket", c.pending[0].Number)
			c.pending = c.pending[1:]
		}
	}
	return false
}

// retryPending applies pending tickets until none of the remaining ones can be
// applied.
func (c *control) retryPending() {
	for applied := true; applied; {
		applied = false
		pending := c.pending
		c.pending = nil
		for _, t := range pending {
			if c.tryTicket(t) {
				applied = true
				c.rejected = slices.DeleteFunc(c.rejected, func(x admin.Rejection) bool { return x.Number == t.Number })
			}
		}
	}
}

// reject logs and records a refused ticket, unless there is a record of the same
// ticket and field.
func (c *control) reject(n wire.TicketNumber, err error) {
	rej := admin.Rejection{Number: n, Problem: err.Error(), At: time.Now()}
	if invalid, ok := err.(*ticket.InvalidError); ok {
		rej.Number, rej.Field, rej.Problem, rej.Pending = invalid.Number, invalid.Field, invalid.Problem, invalid.Pending
	}
	known := slices.ContainsFunc(c.rejected, func(x admin.Rejection) bool {
		return x.Number == rej.Number && x.Field == rej.Field
	})
	if known {
		return
	}
	c.r.log.Error("ticket refused", "ticket", rej.Number, "field", rej.Field, "problem", rej.Problem)
	c.r.Inc("ticket_refused", "")
	c.rejected = append(c.rejected, rej)
	if len(c.rejected) > maxRejected {
		c.r.logEvent(log.InfoLevel, "rejection_dropped", "", "record of a refused ticket dropped", "ticket", c.rejected[0].Number)
		c.rejected = c.rejected[1:]
	}
}

// merge merges the valid objects that a peer has sent into the store and retries
// pending tickets.
func (c *control) merge(objs []wire.Object) {
	next, changes, err := c.store.Merge(objs)
	if err != nil {
		c.r.log.Warn("objects from a peer refused", "err", err)
		c.r.Inc("merge_refused", "")
	}
	c.setStore(next, changes)
	c.retryPending()
}

// setStore replaces the store, logs the changes, and marks the subset as stale if
// upstreams or data centres have changed.
func (c *control) setStore(next *ticket.Store, changes []ticket.Change) {
	if len(changes) == 0 {
		return
	}
	c.store = next
	for _, ch := range changes {
		c.r.logEvent(log.InfoLevel, "object_in_force", "", "object in force", "kind", ch.Kind, "name", ch.Name, "ticket", ch.New.Number, "deleted", ch.New.Deleted)
		if ch.Kind == wire.ObjectKindUpstream || ch.Kind == wire.ObjectKindCentre {
			c.subsetStale = true
		}
	}
	c.r.Inc("ticket_applied", "")
	c.recent = c.recent.withChanges(changes)
	c.storeChanged = true
}
