package ticket

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sync"

	"hornbeamcove.example/core/schema"
	"hornbeamcove.example/core/wire"
)

// InvalidError says why a ticket was refused.
type InvalidError struct {
	Number  wire.TicketNumber
	Field   string
	Problem string
	// Pending is set when other tickets, which may arrive later, would make this
	// one valid.
	Pending bool
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("ticket %d: field %s: %s", e.Number, e.Field, e.Problem)
}

func invalid(n wire.TicketNumber, field, format string, args ...any) *InvalidError {
	return &InvalidError{Number: n, Field: field, Problem: fmt.Sprintf(format, args...)}
}

const (
	// MaxBytes bounds the JSON text of one ticket; the platform holds values of
	// up to 1 MB.
	MaxBytes = 1 << 20

	maxTicketObjects = 4096
	maxDistances     = 256 // the decoder of messages refuses maps over 4,096 entries
)

var (
	ticketSchema = sync.OnceValue(func() *schema.Validator { return schema.MustCompile(schema.Wire, "Ticket") })
	objectSchema = sync.OnceValue(func() *schema.Validator { return schema.MustCompile(schema.Wire, "Object") })
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)
)

// Parse decodes the JSON text of a ticket and checks it against the schema. The
// error is a *InvalidError, with number 0 when the text has no valid number.
func Parse(data []byte) (t wire.Ticket, err error) {
	if len(data) > MaxBytes {
		return t, invalid(0, "document", "got %d bytes, want at most %d", len(data), MaxBytes)
	}
	value, err := schema.Decode(data)
	if err != nil {
		return t, fromFieldError(0, "", err)
	}
	number := numberOf(value)
	if fault := ticketSchema().Check(value); fault != nil {
		return t, fromFieldError(number, "", fault)
	}
	// Decoding the checked value, not the text, keeps a repeated key from mixing
	// its first value into the last one, which alone was checked.
	text, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(text, &t)
	}
	if err != nil {
		return wire.Ticket{}, invalid(number, "document", "%v", err)
	}
	return t, nil
}

func numberOf(value any) wire.TicketNumber {
	doc, _ := value.(map[string]any)
	n, _ := doc["number"].(int64)
	return wire.TicketNumber(max(n, 0))
}

func fromFieldError(n wire.TicketNumber, prefix string, err error) *InvalidError {
	fault, ok := err.(*wire.FieldError)
	if !ok {
		return invalid(n, "document", "%v", err)
	}
	field := prefix + fault.Field
	if field == "" {
		field = "document"
	}
	return invalid(n, field, "got %v, want %s", fault.Value, fault.Want)
}

// checkObject reports the first fault of an object taken alone.
func checkObject(field string, o *wire.Object) error {
	text, err := json.Marshal(o)
	if err != nil {
		return invalid(o.Number, field, "%v", err)
	}
	value, err := schema.Decode(text)
	if err != nil {
		return fromFieldError(o.Number, field+".", err)
	}
	if fault := objectSchema().Check(value); fault != nil {
		return fromFieldError(o.Number, field+".", fault)
	}
	if o.Number < 1 {
		return invalid(o.Number, field+".number", "got %d, want at least 1", o.Number)
	}
	if err = checkKindFields(field, o); err != nil {
		return err
	}
	if o.Deleted {
		return nil
	}
	switch o.Kind {
	case wire.ObjectKindPipeline:
		return checkStages(o.Number, field+".pipeline.stages", o.Pipeline.Stages)
	case wire.ObjectKindUpstream:
		if u := o.Upstream; u.Cold > u.Limit {
			return invalid(o.Number, field+".upstream.cold", "got %d, want at most the limit, %d", u.Cold, u.Limit)
		}
	case wire.ObjectKindCentre:
		return checkDistances(o.Number, field+".centre.distances", o.Centre.Distances)
	}
	return nil
}

// checkKindFields reports an error unless exactly the part of the object's kind is
// set, or none in a tombstone.
func checkKindFields(field string, o *wire.Object) error {
	for _, p := range []struct {
		kind wire.ObjectKind
		set  bool
	}{
		{wire.ObjectKindTeam, o.Team != nil},
		{wire.ObjectKindPipeline, o.Pipeline != nil},
		{wire.ObjectKindUpstream, o.Upstream != nil},
		{wire.ObjectKindCentre, o.Centre != nil},
		{wire.ObjectKindModel, o.Model != nil},
		{wire.ObjectKindKey, o.Key != nil},
	} {
		at := field + "." + string(p.kind)
		switch {
		case p.set && o.Deleted:
			return invalid(o.Number, at, "got a value in a deleted object, want none")
		case p.set && p.kind != o.Kind:
			return invalid(o.Number, at, "got a value in an object of kind %s, want none", o.Kind)
		case !p.set && p.kind == o.Kind && !o.Deleted:
			return invalid(o.Number, at, "got no value, want one in an object of kind %s", o.Kind)
		}
	}
	return nil
}

func checkStages(n wire.TicketNumber, field string, stages []wire.Stage) error {
	names := make(map[wire.StageID]bool, len(stages))
	once := 0
	for i, st := range stages {
		if names[st.Name] {
			return invalid(n, fmt.Sprintf("%s.%d.name", field, i), "got %s twice, want distinct names", st.Name)
		}
		names[st.Name] = true
		if !st.Once {
			continue
		}
		if once++; once > 1 {
			return invalid(n, fmt.Sprintf("%s.%d.once", field, i), "got a second non-repeatable stage, want at most one a pipeline")
		}
	}
	return nil
}

func checkDistances(n wire.TicketNumber, field string, d wire.CentreDistances) error {
	if len(d) > maxDistances {
		return invalid(n, field, "got %d entries, want at most %d", len(d), maxDistances)
	}
	for name := range d {
		if !namePattern.MatchString(name) {
			return invalid(n, field, "got the name %.80q, want text matching %s", name, namePattern)
		}
	}
	return nil
}
