package ticket

import (
	"errors"
	"fmt"

	"hornbeamcove.example/core/wire"
)

// Apply returns the store with the ticket's objects merged in, and what
// changed. Objects without a number take the ticket's. A ticket with a fault is
// refused whole with a *InvalidError; s is unchanged in any case.
func (s *Store) Apply(t wire.Ticket) (*Store, []Change, error) {
	entries, err := s.newerEntries(t)
	if err != nil {
		return s, nil, err
	}
	next, changes := s.withEntries(entries)
	if next.size > MaxObjects {
		return s, nil, invalid(t.Number, "objects", "got %d objects in all, want at most %d", next.size, MaxObjects)
	}
	if err = next.checkReferences(s, t.Number, changes); err != nil {
		return s, nil, err
	}
	return next, changes, nil
}

// Diff returns what Apply would change.
func (s *Store) Diff(t wire.Ticket) ([]Change, error) {
	_, changes, err := s.Apply(t)
	return changes, err
}

// newerEntries checks the ticket's objects one by one and returns those that are
// newer than the store's.
func (s *Store) newerEntries(t wire.Ticket) ([]entry, error) {
	if t.Number < 1 {
		return nil, invalid(t.Number, "number", "got %d, want at least 1", t.Number)
	}
	if n := len(t.Objects); n < 1 || n > maxTicketObjects {
		return nil, invalid(t.Number, "objects", "got %d entries, want 1 to %d", n, maxTicketObjects)
	}
	seen := make(map[objectID]bool, len(t.Objects))
	entries := make([]entry, 0, len(t.Objects))
	for i := range t.Objects {
		o := withDefaults(t.Objects[i], t.Number)
		field := fmt.Sprintf("objects.%d", i)
		if o.Number != t.Number {
			return nil, invalid(t.Number, field+".number", "got %d, want %d or none", o.Number, t.Number)
		}
		if err := checkObject(field, o); err != nil {
			return nil, err
		}
		k := objectID{o.Kind, o.Name}
		if seen[k] {
			return nil, invalid(t.Number, field+".name", "got %s %s twice, want it once", o.Kind, o.Name)
		}
		seen[k] = true
		if e := newEntry(o); e.newerThan(s.get(k)) {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// maxMergeErrors bounds the faults that one Merge reports.
const maxMergeErrors = 16

// Merge returns the store with a peer's objects merged in, and what changed.
// Each object is checked alone: older ones are skipped, faulty ones and those
// over MaxObjects are skipped and reported, up to 16 of them. The store returned
// holds all others even when the error is not nil.
func (s *Store) Merge(objs []wire.Object) (*Store, []Change, error) {
	var faults []error
	report := func(err error) {
		if len(faults) < maxMergeErrors {
			faults = append(faults, err)
		}
	}
	best := make(map[objectID]int, len(objs))
	entries := make([]entry, 0, len(objs))
	size := s.size
	for i := range objs {
		o := withDefaults(objs[i], 0)
		k := objectID{o.Kind, o.Name}
		e, old := newEntry(o), s.get(k)
		at, again := best[k]
		if again {
			old = entries[at]
		}
		if !e.newerThan(old) {
			continue
		}
		if err := checkObject(fmt.Sprintf("objects.%d", i), o); err != nil {
			report(err)
			continue
		}
		if again {
			entries[at] = e
			continue
		}
		if old.obj == nil && size >= MaxObjects {
			report(invalid(o.Number, "objects", "got more than %d objects in all, want at most that", MaxObjects))
			continue
		}
		if old.obj == nil {
			size++
		}
		best[k] = len(entries)
		entries = append(entries, e)
	}
	next, changes := s.withEntries(entries)
	return next, changes, errors.Join(faults...)
}

// defaultQueue is the schema's default of a team's queue.
const defaultQueue = 64

// withDefaults returns a copy of o with its number and defaults filled in, so that
// equal objects have equal hashes.
func withDefaults(o wire.Object, number wire.TicketNumber) *wire.Object {
	if o.Number == 0 {
		o.Number = number
	}
	if o.Team != nil && o.Team.Queue == 0 {
		team := *o.Team
		team.Queue = defaultQueue
		o.Team = &team
	}
	return &o
}
