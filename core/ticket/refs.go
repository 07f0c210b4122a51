package ticket

import (
	"errors"
	"fmt"

	"hornbeamcove.example/core/wire"
)

// reference is the name of another object in a field of an object.
type reference struct {
	field  string // path within the object
	target objectID
}

// references returns the references in o to other objects; a tombstone has none.
func references(o *wire.Object) []reference {
	var refs []reference
	add := func(kind wire.ObjectKind, name, field string) {
		if name != "" {
			refs = append(refs, reference{field, objectID{kind, name}})
		}
	}
	switch {
	case o.Deleted:
	case o.Kind == wire.ObjectKindPipeline:
		for i, st := range o.Pipeline.Stages {
			add(wire.ObjectKindModel, string(st.Model), fmt.Sprintf("pipeline.stages.%d.model", i))
		}
		for i, t := range o.Pipeline.Teams {
			add(wire.ObjectKindTeam, string(t), fmt.Sprintf("pipeline.teams.%d", i))
		}
	case o.Kind == wire.ObjectKindUpstream:
		add(wire.ObjectKindCentre, string(o.Upstream.Centre), "upstream.centre")
		add(wire.ObjectKindModel, string(o.Upstream.Model), "upstream.model")
	case o.Kind == wire.ObjectKindKey:
		add(wire.ObjectKindTeam, string(o.Key.Team), "key.team")
	}
	return refs
}

// checkReferences checks the references between the objects of s, the store that
// results from applying the changes of ticket n to old. It returns the first
// conflict, marked as pending, since another ticket may resolve it.
func (s *Store) checkReferences(old *Store, n wire.TicketNumber, changes []Change) error {
	err := s.checkChanges(old, n, changes)
	var invalidErr *InvalidError
	if errors.As(err, &invalidErr) {
		invalidErr.Pending = true
	}
	return err
}

// checkChanges checks that the targets of the changed objects exist, that no two
// live keys have the same hash and that no deleted object is still referenced.
func (s *Store) checkChanges(old *Store, n wire.TicketNumber, changes []Change) error {
	deleted := map[objectID]bool{}
	for _, c := range changes {
		if err := s.checkTargetsExist(n, c.New); err != nil {
			return err
		}
		if err := s.checkHashUnique(old, n, c.New); err != nil {
			return err
		}
		if c.New.Deleted {
			deleted[objectID{c.Kind, c.Name}] = true
		}
	}
	return s.checkNotReferenced(n, deleted)
}

// checkTargetsExist returns an error if o refers to an object that does not exist.
// An object that was deleted by a ticket with a higher number is allowed, since
// o's ticket may just have arrived late.
func (s *Store) checkTargetsExist(n wire.TicketNumber, o *wire.Object) error {
	for _, r := range references(o) {
		target := s.get(r.target).obj
		if target == nil || target.Deleted && target.Number <= n {
			return invalid(n, fmt.Sprintf("%s %s.%s", o.Kind, o.Name, r.field),
				"got %s, want the name of an existing %s", r.target.name, r.target.kind)
		}
	}
	return nil
}

// checkHashUnique returns an error if another live key has the same hash as o. The
// index holds one key per hash, so the indexes before and after the changes are
// both searched.
func (s *Store) checkHashUnique(old *Store, n wire.TicketNumber, o *wire.Object) error {
	if o.Kind != wire.ObjectKindKey || o.Deleted {
		return nil
	}
	for _, other := range []*wire.Object{s.keyByHash[o.Key.Hash], old.keyByHash[o.Key.Hash]} {
		if other == nil || other.Name == o.Name {
			continue
		}
		if current := s.get(objectID{o.Kind, other.Name}).obj; !current.Deleted && current.Key.Hash == o.Key.Hash {
			return invalid(n, fmt.Sprintf("key %s.key.hash", o.Name), "got the hash of key %s, want a hash of its own", other.Name)
		}
	}
	return nil
}

// checkNotReferenced returns an error if a live object from an earlier ticket still
// refers to one of the deleted objects.
func (s *Store) checkNotReferenced(n wire.TicketNumber, deleted map[objectID]bool) error {
	if len(deleted) == 0 {
		return nil
	}
	for _, kind := range []wire.ObjectKind{wire.ObjectKindPipeline, wire.ObjectKindUpstream, wire.ObjectKindKey} {
		for _, o := range s.live[kind] {
			for _, r := range references(o) {
				if deleted[r.target] && o.Number < n {
					return invalid(n, fmt.Sprintf("%s %s.deleted", r.target.kind, r.target.name),
						"got true, want false while %s %s names it", o.Kind, o.Name)
				}
			}
		}
	}
	return nil
}
