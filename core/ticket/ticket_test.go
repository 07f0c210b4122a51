package ticket

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

const testKeyHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

const baseTicket = `{"number": 10, "objects": [
 {"kind": "team", "name": "folders", "team": {"weight": 2}},
 {"kind": "centre", "name": "pa", "centre": {"region": "west", "state": "in", "distances": {"ct": 500}}},
 {"kind": "model", "name": "m", "model": {"version": 1}},
 {"kind": "key", "name": "k", "key": {"team": "folders", "hash": "` + testKeyHash + `"}},
 {"kind": "pipeline", "name": "plan", "pipeline": {"deadline": 3000, "rank": "batch", "teams": ["folders"],
  "stages": [{"name": "a", "kind": "generate", "pool": "p", "model": "m", "expect": 100}]}},
 {"kind": "upstream", "name": "u1", "upstream": {"pool": "p", "kind": "generate", "centre": "pa", "host": "h",
  "agent": "127.0.0.1:9", "limit": 8, "cold": 2, "state": "serve", "model": "m"}}]}`

func apply(t *testing.T, s *Store, text string) (*Store, []Change, error) {
	t.Helper()
	ticket, err := Parse([]byte(text))
	if err != nil {
		return s, nil, err
	}
	return s.Apply(ticket)
}

// baseStore returns a store with baseTicket applied.
func baseStore(t *testing.T) *Store {
	t.Helper()
	s, changes, err := apply(t, &Store{}, baseTicket)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 6)
	return s
}

func ticketJSON(n int, object string) string {
	return fmt.Sprintf(`{"number": %d, "objects": [%s]}`, n, object)
}

// TestRefused guards against an invalid ticket being accepted or changing the
// store, and against errors that don't name the field.
func TestRefused(t *testing.T) {
	stage := `{"name": "a", "kind": "plain", "pool": "p", "expect": 1, "once": true}`
	pipeline := func(stages, teams string) string {
		return ticketJSON(11, `{"kind": "pipeline", "name": "x", "pipeline": {"deadline": 10, "rank": "batch", "stages": [`+stages+`], "teams": [`+teams+`]}}`)
	}
	upstream := func(centre, more string) string {
		return ticketJSON(11, `{"kind": "upstream", "name": "u2", "upstream": {"pool": "p", "kind": "plain", "centre": "`+centre+
			`", "host": "h", "agent": "127.0.0.1:9", "limit": 8, "state": "serve", `+more+`}}`)
	}
	for name, c := range map[string]struct{ text, field, problem string }{
		"no JSON":            {`{`, "document", "JSON"},
		"two documents":      {baseTicket + `1`, "document", "JSON"},
		"unknown field":      {ticketJSON(11, `{"kind": "team", "name": "a", "team": {"weight": 1, "wait": 2}}`), "objects.0.team.wait", "queue, weight"},
		"range":              {ticketJSON(11, `{"kind": "team", "name": "a", "team": {"weight": 1001}}`), "objects.0.team.weight", "got 1001, want 1 to 1000"},
		"zero queue":         {ticketJSON(11, `{"kind": "team", "name": "a", "team": {"weight": 1, "queue": 0}}`), "objects.0.team.queue", "want 1 to 1024"},
		"fraction":           {ticketJSON(11, `{"kind": "team", "name": "a", "team": {"weight": 1e999999999}}`), "objects.0.team.weight", "whole number"},
		"enum":               {ticketJSON(11, `{"kind": "centre", "name": "pa", "centre": {"region": "r", "state": "off"}}`), "objects.0.centre.state", "one of in, out"},
		"missing":            {ticketJSON(11, `{"kind": "team", "name": "a", "team": {}}`), "objects.0.team.weight", "no value"},
		"name":               {ticketJSON(11, `{"kind": "team", "name": "A", "team": {"weight": 1}}`), "objects.0.name", `got "A"`},
		"ticket number":      {ticketJSON(0, `{"kind": "team", "name": "a", "team": {"weight": 1}}`), "number", "at least 1"},
		"object number":      {ticketJSON(11, `{"kind": "team", "name": "a", "number": 9, "team": {"weight": 1}}`), "objects.0.number", "want 11"},
		"twice":              {ticketJSON(11, `{"kind": "team", "name": "a", "deleted": true}, {"kind": "team", "name": "a", "deleted": true}`), "objects.1.name", "twice"},
		"no kind field":      {ticketJSON(11, `{"kind": "team", "name": "a"}`), "objects.0.team", "no value"},
		"wrong kind field":   {ticketJSON(11, `{"kind": "team", "name": "a", "team": {"weight": 1}, "model": {"version": 1}}`), "objects.0.model", "kind team"},
		"field of tombstone": {ticketJSON(11, `{"kind": "team", "name": "a", "deleted": true, "team": {"weight": 1}}`), "objects.0.team", "deleted"},
		"two once":           {pipeline(stage+`,`+strings.Replace(stage, `"a"`, `"b"`, 1), ""), "objects.0.pipeline.stages.1.once", "at most one"},
		"stage names":        {pipeline(stage+`,`+stage, ""), "objects.0.pipeline.stages.1.name", "distinct"},
		"no such team":       {pipeline(stage, `"nobody"`), "pipeline x.pipeline.teams.0", "existing team"},
		"cold over limit":    {upstream("pa", `"cold": 9`), "objects.0.upstream.cold", "at most the limit, 8"},
		"no such centre":     {upstream("no", `"cold": 1`), "upstream u2.upstream.centre", "existing centre"},
		"no such model":      {upstream("pa", `"cold": 1, "model": "no"`), "upstream u2.upstream.model", "existing model"},
		"hash in use":        {ticketJSON(11, `{"kind": "key", "name": "k2", "key": {"team": "folders", "hash": "`+testKeyHash+`"}}`), "key k2.key.hash", "key k"},
		"referenced":         {ticketJSON(11, `{"kind": "centre", "name": "pa", "deleted": true}`), "centre pa.deleted", "upstream u1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := baseStore(t)
			next, _, err := apply(t, s, c.text)
			var invalidErr *InvalidError
			assert.Assert(t, errors.As(err, &invalidErr), "%v", err)
			assert.Equal(t, invalidErr.Field, c.field)
			assert.ErrorContains(t, err, c.problem)
			assert.Equal(t, next, s)
		})
	}
}

// TestApply guards against reads that miss a change or return a deleted object,
// and against an older ticket changing the store.
func TestApply(t *testing.T) {
	s := baseStore(t)
	team, ok := s.Team("folders")
	assert.Assert(t, ok && team.Weight == 2 && team.Queue == 64)
	_, ok = s.Key(testKeyHash)
	assert.Assert(t, ok)

	next, changes, err := apply(t, s, ticketJSON(12, `{"kind": "key", "name": "k", "deleted": true},
		{"kind": "key", "name": "k2", "key": {"team": "folders", "hash": "`+testKeyHash+`"}},
		{"kind": "upstream", "name": "u1", "deleted": true}`))
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 3)
	assert.Equal(t, len(next.Upstreams()), 0)
	assert.Equal(t, len(s.Upstreams()), 1)
	assert.Equal(t, next.keyByHash[testKeyHash].Name, "k2")

	again, changes, err := apply(t, next, baseTicket)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, again, next)
}

// TestRepeatedKey guards against a repeated JSON key leaving parts of its earlier,
// unchecked value in the decoded ticket.
func TestRepeatedKey(t *testing.T) {
	ticket, err := Parse([]byte(ticketJSON(1, `{"kind": "team", "name": "a", "team": {"weight": 1, "queue": 9999}, "team": {"weight": 2}}`)))
	assert.NilError(t, err)
	assert.DeepEqual(t, ticket.Objects[0].Team, &wire.Team{Weight: 2})
}

// TestLate guards against refusing a ticket that arrives after a later ticket
// deleted an object to which it refers.
func TestLate(t *testing.T) {
	s, _, err := apply(t, &Store{}, ticketJSON(20, `{"kind": "team", "name": "folders", "deleted": true}`))
	assert.NilError(t, err)
	_, changes, err := apply(t, s, baseTicket)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 5)
}

// TestBound guards against growth beyond MaxObjects by tickets and by merges.
func TestBound(t *testing.T) {
	objs := make([]wire.Object, MaxObjects)
	for i := range objs {
		objs[i] = wire.Object{Kind: wire.ObjectKindTeam, Name: fmt.Sprint("t", i), Number: 1, Deleted: true}
	}
	s, _, err := (&Store{}).Merge(objs)
	assert.NilError(t, err)
	extra := wire.Object{Kind: wire.ObjectKindTeam, Name: "x", Number: 2, Deleted: true}
	_, _, err = s.Apply(wire.Ticket{Number: 2, Objects: []wire.Object{extra}})
	assert.ErrorContains(t, err, "at most 20000")
	s, _, err = s.Merge([]wire.Object{extra})
	assert.ErrorContains(t, err, "20000")
	assert.Equal(t, s.Len(), MaxObjects)
}

// TestMergeSkipsFaulty guards against one invalid object blocking the others.
func TestMergeSkipsFaulty(t *testing.T) {
	good := wire.Object{Kind: wire.ObjectKindModel, Name: "m", Number: 3, Model: &wire.Model{Version: 1}}
	s, changes, err := (&Store{}).Merge([]wire.Object{{Kind: wire.ObjectKindTeam, Name: "a", Number: 3}, good})
	assert.ErrorContains(t, err, "objects.0.team")
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, s.Head(), wire.TicketNumber(3))
}

func objectsGen() *rapid.Generator[[]wire.Object] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.Object {
		o := wire.Object{
			Name:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
			Number:  wire.TicketNumber(rapid.IntRange(1, 4).Draw(t, "number")),
			Deleted: rapid.Bool().Draw(t, "deleted"),
		}
		n := rapid.IntRange(1, 3).Draw(t, "value")
		switch o.Kind = rapid.SampledFrom([]wire.ObjectKind{"team", "model", "key"}).Draw(t, "kind"); {
		case o.Deleted:
		case o.Kind == wire.ObjectKindTeam:
			o.Team = &wire.Team{Weight: n}
		case o.Kind == wire.ObjectKindModel:
			o.Model = &wire.Model{Version: wire.Version(n)}
		default:
			o.Key = &wire.Key{Team: "a", Hash: wire.KeyHash(strings.Repeat(fmt.Sprint(n), 64))}
		}
		return o
	}), 0, 12)
}

func mergeAll(t *rapid.T, s *Store, objs ...[]wire.Object) *Store {
	for _, o := range objs {
		var err error
		s, _, err = s.Merge(o)
		assert.NilError(t, err)
	}
	return s
}

// dumpJSON returns the content of s and its indexes.
func dumpJSON(t *rapid.T, s *Store) string {
	var all [][]wire.Object
	for i := range BucketCount {
		all = append(all, s.Bucket(i))
	}
	out, err := json.Marshal([]any{all, s.live, s.keyByHash, s.size, s.head})
	assert.NilError(t, err)
	return string(out)
}

// TestMergeProperties guards against results that depend on the order of merges,
// objects that revert to an older version, equal digests of different stores, and
// different digests of equal ones.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := objectsGen().Draw(t, "a"), objectsGen().Draw(t, "b"), objectsGen().Draw(t, "c")
		empty := &Store{}
		sa, sb := mergeAll(t, empty, a), mergeAll(t, empty, b)
		ab := mergeAll(t, empty, a, b)

		assert.Equal(t, dumpJSON(t, ab), dumpJSON(t, mergeAll(t, empty, b, a)), "commutative")
		assert.Equal(t, dumpJSON(t, mergeAll(t, ab, c)), dumpJSON(t, mergeAll(t, empty, b, c, a)), "associative")
		assert.Equal(t, mergeAll(t, ab, a, b), ab, "idempotent")
		for i := range BucketCount {
			for _, o := range sa.Bucket(i) {
				merged, ok := ab.Object(o.Kind, o.Name)
				assert.Assert(t, ok && merged.Number >= o.Number, "%s %s reverted", o.Kind, o.Name)
			}
		}
		equal := dumpJSON(t, sa) == dumpJSON(t, sb)
		assert.Equal(t, equal, sa.Digest().Root == sb.Digest().Root)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(baseTicket))
	f.Add([]byte(ticketJSON(1, `{"kind": "team", "name": "a", "deleted": true}`)))
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := Parse(data)
		if err != nil {
			var invalidErr *InvalidError
			assert.Assert(t, errors.As(err, &invalidErr), "%v", err)
			return
		}
		out, err := json.Marshal(ticket)
		assert.NilError(t, err)
		again, err := Parse(out)
		assert.NilError(t, err)
		text, err := json.Marshal(again)
		assert.NilError(t, err)
		assert.Equal(t, string(text), string(out))
	})
}

// upstreamStore returns a store with n upstreams.
func upstreamStore(n int) *Store {
	objs := make([]wire.Object, n)
	for i := range objs {
		objs[i] = wire.Object{Kind: wire.ObjectKindUpstream, Name: fmt.Sprint("u", i), Number: 1, Upstream: &wire.Upstream{
			Pool: "p", Kind: "plain", Centre: "c", Host: "h", Agent: "127.0.0.1:1", Limit: 4, Cold: 1, State: "serve",
		}}
	}
	s, _, _ := (&Store{}).Merge(objs)
	return s
}

func BenchmarkApplyOne(b *testing.B) {
	s, _, err := upstreamStore(13_000).Merge([]wire.Object{{Kind: "centre", Name: "c", Number: 1, Centre: &wire.Centre{Region: "r", State: "in"}}})
	assert.NilError(b, err)
	o := *s.Upstreams()[7]
	o.Number = 0
	for i := 0; b.Loop(); i++ {
		_, changes, err := s.Apply(wire.Ticket{Number: wire.TicketNumber(i + 2), Objects: []wire.Object{o}})
		assert.Assert(b, err == nil && len(changes) == 1)
	}
}

func BenchmarkMergeAll(b *testing.B) {
	for b.Loop() {
		upstreamStore(13_000)
	}
}
