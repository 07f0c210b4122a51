package ticket

import (
	"errors"
	"fmt"

	"hornbeamcove.example/core/wire"
)

// Apply returns a store with the ticket's objects merged in, and the changes.
// Objects without a number get the ticket's. Objects older than those of s are
// skipped. If anything in the ticket is invalid, no part of it is applied: Apply
// returns s and an *InvalidError. It never modifies s.
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

// Diff returns the changes that Apply would make, or its error.
func (s *Store) Diff(t wire.Ticket) ([]Change, error) {
	_, changes, err := s.Apply(t)
	return changes, err
}

// newerEntries checks each object of the ticket and returns those that are newer
// than the store's.
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

// maxMergeErrors limits the errors that one Merge reports.
const maxMergeErrors = 16

// Merge returns a store with a peer's objects merged in, and the changes. Each
// object is checked on its own: older ones are skipped; invalid ones and those
// beyond MaxObjects are skipped and reported, at most 16 of them. The returned
// store holds all others even when the error is not nil.
func (s *Store) Merge(objs []wire.Object) (*Store, []Change, error) {
	var errs []error
	report := func(err error) {
		if len(errs) < maxMergeErrors {
			errs = append(errs, err)
		}
	}
	indexOf := make(map[objectID]int, len(objs))
	entries := make([]entry, 0, len(objs))
	size := s.size
	for i := range objs {
		o := withDefaults(objs[i], 0)
		k := objectID{o.Kind, o.Name}
		e, old := newEntry(o), s.get(k)
		index, repeated := indexOf[k]
		if repeated {
			old = entries[index]
		}
		if !e.newerThan(old) {
			continue
		}
		if err := checkObject(fmt.Sprintf("objects.%d", i), o); err != nil {
			report(err)
			continue
		}
		if repeated {
			entries[index] = e
			continue
		}
		if old.obj == nil && size >= MaxObjects {
			report(invalid(o.Number, "objects", "got more than %d objects in all, want at most that", MaxObjects))
			continue
		}
		if old.obj == nil {
			size++
		}
		indexOf[k] = len(entries)
		entries = append(entries, e)
	}
	next, changes := s.withEntries(entries)
	return next, changes, errors.Join(errs...)
}

// defaultTeamQueue is the schema's default for the queue limit of a team.
const defaultTeamQueue = 64

// withDefaults returns a copy of o in which a missing number is set to number and
// other missing values to their defaults, so that equal objects have equal hashes.
func withDefaults(o wire.Object, number wire.TicketNumber) *wire.Object {
	if o.Number == 0 {
		o.Number = number
	}
	if o.Team != nil && o.Team.Queue == 0 {
		team := *o.Team
		team.Queue = defaultTeamQueue
		o.Team = &team
	}
	return &o
}
