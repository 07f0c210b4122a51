package ticket

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

const (
	// BucketCount is the number of buckets that objects are hashed into, each with
	// its own hash in a Digest.
	BucketCount = 64
	// MaxObjects is the maximum number of objects in a store, tombstones included.
	MaxObjects = 20_000
)

type objectID struct {
	kind wire.ObjectKind
	name string
}

// entry is one object with the hash of its content.
type entry struct {
	obj  *wire.Object
	hash uint64
}

// bucket is immutable once its store is published. hashSum is the sum of the
// entries' hashes modulo 2^64, so a change updates it without reading the other
// entries.
type bucket struct {
	entries map[objectID]entry
	hashSum uint64
}

// Store is an immutable set of configuration objects. The zero value is empty.
// Objects that it returns are shared and must not be changed.
type Store struct {
	buckets   [BucketCount]*bucket               // nil if empty
	live      map[wire.ObjectKind][]*wire.Object // in name order, without tombstones
	keyByHash map[wire.KeyHash]*wire.Object      // live keys
	size      int                                // number of objects, tombstones included
	head      wire.TicketNumber                  // highest number of any object
}

// Change describes one object that a ticket or a merge added, replaced or deleted.
// Old is nil for an added object; New is a tombstone for a deleted one.
type Change struct {
	Kind     wire.ObjectKind
	Name     string
	Old, New *wire.Object
}

func bucketOf(k objectID) int {
	return int(xxhash.Sum64String(string(k.kind)+"\x00"+k.name) % BucketCount)
}

func newEntry(o *wire.Object) entry {
	text, err := json.Marshal(o)
	if err != nil { // can't happen: objects hold only strings, numbers and maps with string keys
		panic(err)
	}
	return entry{o, xxhash.Sum64(text)}
}

// newerThan reports whether e replaces old. Different objects with the same number
// come from two tickets with that number, an operator's mistake. Then a deletion
// wins, else the higher hash, so that the result doesn't depend on the order of
// merges.
func (e entry) newerThan(old entry) bool {
	switch {
	case old.obj == nil:
		return true
	case e.obj.Number != old.obj.Number:
		return e.obj.Number > old.obj.Number
	case e.obj.Deleted != old.obj.Deleted:
		return e.obj.Deleted
	}
	return e.hash > old.hash
}

func (s *Store) get(k objectID) entry {
	b := s.buckets[bucketOf(k)]
	if b == nil {
		return entry{}
	}
	return b.entries[k]
}

// withEntries returns a copy of s with the entries added, and the changes. Each
// entry must be newer than the object that it replaces, and occur only once.
func (s *Store) withEntries(entries []entry) (*Store, []Change) {
	if len(entries) == 0 {
		return s, nil
	}
	next := *s
	changes := make([]Change, 0, len(entries))
	var cloned [BucketCount]bool
	for _, e := range entries {
		k := objectID{e.obj.Kind, e.obj.Name}
		i := bucketOf(k)
		if !cloned[i] {
			next.buckets[i], cloned[i] = next.buckets[i].clone(), true
		}
		old := next.buckets[i].put(k, e)
		if old.obj == nil {
			next.size++
		}
		next.head = max(next.head, e.obj.Number)
		changes = append(changes, Change{k.kind, k.name, old.obj, e.obj})
	}
	next.updateIndexes(changes)
	return &next, changes
}

func (b *bucket) clone() *bucket {
	if b == nil {
		return &bucket{entries: map[objectID]entry{}}
	}
	entries := make(map[objectID]entry, len(b.entries)+1)
	for k, e := range b.entries {
		entries[k] = e
	}
	return &bucket{entries, b.hashSum}
}

// put stores e under k and returns the entry that it replaced.
func (b *bucket) put(k objectID, e entry) (old entry) {
	old = b.entries[k]
	b.entries[k] = e
	b.hashSum += e.hash - old.hash
	return old
}

// updateIndexes replaces the lists of live objects of the changed kinds, and the
// index of keys if keys changed. The previous lists and index stay as they are,
// since older stores share them.
func (s *Store) updateIndexes(changes []Change) {
	byKind := map[wire.ObjectKind][]*wire.Object{}
	for _, c := range changes {
		byKind[c.Kind] = append(byKind[c.Kind], c.New)
	}
	live := make(map[wire.ObjectKind][]*wire.Object, len(s.live)+len(byKind))
	for k, objs := range s.live {
		live[k] = objs
	}
	for k, objs := range byKind {
		slices.SortFunc(objs, byName)
		live[k] = mergeByName(live[k], objs)
	}
	s.live = live
	if byKind[wire.ObjectKindKey] != nil {
		s.keyByHash = indexByHash(live[wire.ObjectKindKey])
	}
}

func byName(a, b *wire.Object) int { return strings.Compare(a.Name, b.Name) }

// mergeByName merges two lists that are in name order. A changed object replaces
// the old one of the same name; tombstones are left out.
func mergeByName(old, changed []*wire.Object) []*wire.Object {
	out := make([]*wire.Object, 0, len(old)+len(changed))
	for _, c := range changed {
		i, found := slices.BinarySearchFunc(old, c, byName)
		out = append(out, old[:i]...)
		if !c.Deleted {
			out = append(out, c)
		}
		if found {
			i++
		}
		old = old[i:]
	}
	return append(out, old...)
}

// indexByHash returns a map from hash to key. After a network partition Merge can
// bring together two keys with the same hash; the higher ticket number wins, then
// the first name, so that all stores agree.
func indexByHash(keys []*wire.Object) map[wire.KeyHash]*wire.Object {
	m := make(map[wire.KeyHash]*wire.Object, len(keys))
	for _, k := range keys {
		if old := m[k.Key.Hash]; old == nil || k.Number > old.Number {
			m[k.Key.Hash] = k
		}
	}
	return m
}

// Digest returns the highest ticket number, a hash of each bucket and a hash over
// all buckets. The hashes cover the content of objects too, so that two stores
// that applied different tickets with the same number can detect it.
func (s *Store) Digest() wire.Digest {
	d := wire.Digest{Head: s.head, Buckets: make([]uint64, BucketCount)}
	buf := make([]byte, 0, 8*BucketCount)
	for i, b := range s.buckets {
		if b != nil {
			d.Buckets[i] = b.hashSum
		}
		buf = binary.BigEndian.AppendUint64(buf, d.Buckets[i])
	}
	d.Root = xxhash.Sum64(buf)
	return d
}

// Bucket returns the objects of bucket i, tombstones included, sorted by kind and
// name. It returns nil if i is out of range.
func (s *Store) Bucket(i int) []wire.Object {
	if i < 0 || i >= BucketCount || s.buckets[i] == nil {
		return nil
	}
	objs := make([]wire.Object, 0, len(s.buckets[i].entries))
	for _, e := range s.buckets[i].entries {
		objs = append(objs, *e.obj)
	}
	slices.SortFunc(objs, func(a, b wire.Object) int {
		if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return objs
}

// Len returns the number of objects, tombstones included.
func (s *Store) Len() int { return s.size }

// Head returns the highest ticket number of any object, or 0 for an empty store.
func (s *Store) Head() wire.TicketNumber { return s.head }

// Object returns the object or its tombstone, and whether there is one.
func (s *Store) Object(kind wire.ObjectKind, name string) (*wire.Object, bool) {
	e := s.get(objectID{kind, name})
	return e.obj, e.obj != nil
}

// List returns the live objects of a kind in name order.
func (s *Store) List(kind wire.ObjectKind) []*wire.Object { return slices.Clip(s.live[kind]) }

// Upstreams returns the live upstream objects in name order.
func (s *Store) Upstreams() []*wire.Object { return s.List(wire.ObjectKindUpstream) }

// kindField returns a copy of the field that get selects from the live object of a
// kind and name; ok is false if there is no such object.
func kindField[T any](s *Store, kind wire.ObjectKind, name string, get func(*wire.Object) *T) (v T, ok bool) {
	o := s.get(objectID{kind, name}).obj
	if o == nil || o.Deleted {
		return v, false
	}
	return *get(o), true
}

// Team returns the live team of that name.
func (s *Store) Team(name wire.TeamID) (wire.Team, bool) {
	return kindField(s, wire.ObjectKindTeam, string(name), func(o *wire.Object) *wire.Team { return o.Team })
}

// Pipeline returns the live pipeline of that name.
func (s *Store) Pipeline(name wire.PipelineID) (wire.Pipeline, bool) {
	return kindField(s, wire.ObjectKindPipeline, string(name), func(o *wire.Object) *wire.Pipeline { return o.Pipeline })
}

// Upstream returns the live upstream of that name.
func (s *Store) Upstream(name wire.UpstreamID) (wire.Upstream, bool) {
	return kindField(s, wire.ObjectKindUpstream, string(name), func(o *wire.Object) *wire.Upstream { return o.Upstream })
}

// Centre returns the live data centre of that name.
func (s *Store) Centre(name wire.DataCentreID) (wire.Centre, bool) {
	return kindField(s, wire.ObjectKindCentre, string(name), func(o *wire.Object) *wire.Centre { return o.Centre })
}

// Model returns the live model of that name.
func (s *Store) Model(name wire.ModelID) (wire.Model, bool) {
	return kindField(s, wire.ObjectKindModel, string(name), func(o *wire.Object) *wire.Model { return o.Model })
}

// Key returns the live key with the given hash.
func (s *Store) Key(hash wire.KeyHash) (wire.Key, bool) {
	o := s.keyByHash[hash]
	if o == nil {
		return wire.Key{}, false
	}
	return *o.Key, true
}
