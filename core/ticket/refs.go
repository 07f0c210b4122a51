package ticket

import (
	"errors"
	"fmt"

	"hornbeamcove.example/core/wire"
)

// reference is one object named by another.
type reference struct {
	field  string
	target objectID
}

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

// checkReferences reports the first fault between the objects of s, the store
// that ticket n yields from old through the changes.
func (s *Store) checkReferences(old *Store, n wire.TicketNumber, changes []Change) error {
	err := s.checkChanges(old, n, changes)
	var b *InvalidError
	if errors.As(err, &b) {
		b.Pending = true
	}
	return err
}

func (s *Store) checkChanges(old *Store, n wire.TicketNumber, changes []Change) error {
	gone := map[objectID]bool{}
	for _, c := range changes {
		if err := s.checkTargetsExist(n, c.New); err != nil {
			return err
		}
		if err := s.checkHashUnique(old, n, c.New); err != nil {
			return err
		}
		if c.New.Deleted {
			gone[objectID{c.Kind, c.Name}] = true
		}
	}
	return s.checkNotReferenced(n, gone)
}

// checkTargetsExist reports an object that o names and that does not exist. One that a
// ticket with a higher number deleted is no fault, since o's ticket may only
// have arrived late.
func (s *Store) checkTargetsExist(n wire.TicketNumber, o *wire.Object) error {
	for _, r := range references(o) {
		to := s.get(r.target).obj
		if to == nil || to.Deleted && to.Number <= n {
			return invalid(n, fmt.Sprintf("%s %s.%s", o.Kind, o.Name, r.field),
				"got %s, want the name of an existing %s", r.target.name, r.target.kind)
		}
	}
	return nil
}

func (s *Store) checkHashUnique(old *Store, n wire.TicketNumber, o *wire.Object) error {
	if o.Kind != wire.ObjectKindKey || o.Deleted {
		return nil
	}
	for _, other := range []*wire.Object{s.keyByHash[o.Key.Hash], old.keyByHash[o.Key.Hash]} {
		if other == nil || other.Name == o.Name {
			continue
		}
		if now := s.get(objectID{o.Kind, other.Name}).obj; !now.Deleted && now.Key.Hash == o.Key.Hash {
			return invalid(n, fmt.Sprintf("key %s.key.hash", o.Name), "got the hash of key %s, want a hash of its own", other.Name)
		}
	}
	return nil
}

// checkNotReferenced reports a deleted object that an object from an earlier ticket
// still names.
func (s *Store) checkNotReferenced(n wire.TicketNumber, gone map[objectID]bool) error {
	if len(gone) == 0 {
		return nil
	}
	for _, kind := range []wire.ObjectKind{wire.ObjectKindPipeline, wire.ObjectKindUpstream, wire.ObjectKindKey} {
		for _, o := range s.live[kind] {
			for _, r := range references(o) {
				if gone[r.target] && o.Number < n {
					return invalid(n, fmt.Sprintf("%s %s.deleted", r.target.kind, r.target.name),
						"got true, want false while %s %s names it", o.Kind, o.Name)
				}
			}
		}
	}
	return nil
}
