package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

// maxFaults bounds the faults that one check reports.
const maxFaults = 16

// Fault is one fault of a ticket. A pending fault would disappear if a ticket with
// the objects that this one refers to were applied first.
type Fault struct {
	Number  wire.TicketNumber `json:"number"`
	Field   string            `json:"field"`
	Problem string            `json:"problem"`
	Pending bool              `json:"pending"`
}

// Change is what a ticket would do to one object. Old is null for a new object.
// Fields lists the fields that differ; the hash of a key is listed, but not shown.
type Change struct {
	Kind   wire.ObjectKind `json:"kind"`
	Name   string          `json:"name"`
	Action string          `json:"action"` // add, change, delete or renumber
	Fields []string        `json:"fields"`
	Old    *Object         `json:"old"`
	New    *Object         `json:"new"`
}

// SkippedObject is an object of a ticket that would have no effect, since a ticket
// with a higher or the same number has already set it.
type SkippedObject struct {
	Kind   wire.ObjectKind   `json:"kind"`
	Name   string            `json:"name"`
	Number wire.TicketNumber `json:"number"`
}

// Check is the response of /v1/check. Truncated is set when faults beyond maxFaults
// were left out.
type Check struct {
	ResponseInfo
	Number    wire.TicketNumber `json:"number"`
	Valid     bool              `json:"valid"`
	Faults    []Fault           `json:"faults"`
	Changes   []Change          `json:"changes"`
	Skipped   []SkippedObject   `json:"skipped"`
	Truncated bool              `json:"cut"`
}

// CheckTicket reports what the JSON text of a ticket would change in s. The
// faults of each object are reported together; faults between objects only when
// there are no others.
func CheckTicket(s *ticket.Store, text []byte) *Check {
	c := &Check{Faults: []Fault{}, Changes: []Change{}, Skipped: []SkippedObject{}}
	t, err := ticket.Parse(text)
	c.Number = t.Number
	if c.addFault(err) {
		c.checkObjects(s, text)
		return c
	}
	changes, err := s.Diff(t)
	if c.addFault(err) {
		if !c.Faults[0].Pending {
			c.checkObjects(s, text)
		}
		return c
	}
	c.Valid = true
	for i := range changes {
		c.Changes = append(c.Changes, newChange(&changes[i]))
	}
	c.addSkipped(s, t, changes)
	return c
}

// addFault records an error and reports whether there was one.
func (c *Check) addFault(err error) bool {
	if err == nil {
		return false
	}
	f := Fault{Field: "document", Problem: err.Error()}
	var invalidErr *ticket.InvalidError
	if errors.As(err, &invalidErr) {
		f = Fault{invalidErr.Number, invalidErr.Field, invalidErr.Problem, invalidErr.Pending}
	}
	c.Number = max(c.Number, f.Number)
	if slices.Contains(c.Faults, f) {
		return true
	}
	if len(c.Faults) >= maxFaults {
		c.Truncated = true
		return true
	}
	c.Faults = append(c.Faults, f)
	return true
}

// checkObjects checks the objects of an invalid ticket one by one, so that an
// operator sees more than the first fault. It leaves out pending faults, since an
// object that is checked alone misses the others that it refers to.
func (c *Check) checkObjects(s *ticket.Store, text []byte) {
	var doc struct {
		Number  json.RawMessage   `json:"number"`
		Objects []json.RawMessage `json:"objects"`
	}
	if json.Unmarshal(text, &doc) != nil || len(doc.Number) == 0 {
		return
	}
	for i, o := range doc.Objects {
		single, err := json.Marshal(map[string]any{"number": doc.Number, "objects": []json.RawMessage{o}})
		if err != nil || c.Truncated {
			return
		}
		t, err := ticket.Parse(single)
		if err == nil {
			_, err = s.Diff(t)
		}
		var invalidErr *ticket.InvalidError
		if !errors.As(err, &invalidErr) || invalidErr.Pending {
			continue
		}
		if rest, ok := strings.CutPrefix(invalidErr.Field, "objects.0"); ok {
			located := *invalidErr
			located.Field = fmt.Sprintf("objects.%d%s", i, rest)
			c.addFault(&located)
		}
	}
}

// addSkipped adds the objects of t that are set already and not among the changes.
func (c *Check) addSkipped(s *ticket.Store, t wire.Ticket, changes []ticket.Change) {
	type id struct {
		kind wire.ObjectKind
		name string
	}
	changed := make(map[id]bool, len(changes))
	for _, change := range changes {
		changed[id{change.Kind, change.Name}] = true
	}
	for i := range t.Objects {
		o := &t.Objects[i]
		if changed[id{o.Kind, o.Name}] {
			continue
		}
		if have, ok := s.Object(o.Kind, o.Name); ok {
			c.Skipped = append(c.Skipped, SkippedObject{o.Kind, o.Name, have.Number})
		}
	}
}

func newChange(change *ticket.Change) Change {
	out := Change{Kind: change.Kind, Name: change.Name, Old: NewObject(change.Old), New: NewObject(change.New)}
	out.Fields = changedFields(objectFields(change.Old), objectFields(change.New))
	switch {
	case change.New.Deleted:
		out.Action = "delete"
	case change.Old == nil || change.Old.Deleted:
		out.Action = "add"
	case len(out.Fields) > 0:
		out.Action = "change"
	default:
		out.Action = "renumber"
	}
	return out
}

// objectFields returns the fields specific to the object's kind, or nil for a
// missing object or a tombstone.
func objectFields(o *wire.Object) map[string]any {
	if o == nil || o.Deleted {
		return nil
	}
	text, err := json.Marshal(o)
	if err != nil {
		return nil
	}
	var doc map[string]any
	if json.Unmarshal(text, &doc) != nil {
		return nil
	}
	fields, _ := doc[string(o.Kind)].(map[string]any)
	return fields
}

// changedFields returns the names of the fields in which a and b differ, sorted.
func changedFields(a, b map[string]any) []string {
	out := []string{}
	for k, v := range a {
		if w, ok := b[k]; !ok || !reflect.DeepEqual(v, w) {
			out = append(out, k)
		}
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}
