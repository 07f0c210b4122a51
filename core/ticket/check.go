package ticket

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sync"

	"hornbeamcove.example/core/schema"
	"hornbeamcove.example/core/wire"
)

// InvalidError reports why a ticket or one of its objects was refused.
type InvalidError struct {
	Number  wire.TicketNumber // number of the ticket or object; 0 if unknown
	Field   string            // path of the invalid field, or "document"
	Problem string
	// Pending is set when the ticket could become valid once other tickets have
	// been applied, which may arrive later.
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
	// MaxBytes is the maximum size of a ticket's JSON text. The platform stores
	// values of up to 1 MB.
	MaxBytes = 1 << 20

	maxTicketObjects = 4096
	maxDistances     = 256 // well below the 4,096 entries of a map that the message decoder accepts
)

var (
	ticketSchema = sync.OnceValue(func() *schema.Validator { return schema.MustCompile(schema.Wire, "Ticket") })
	objectSchema = sync.OnceValue(func() *schema.Validator { return schema.MustCompile(schema.Wire, "Object") })
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)
)

// Parse decodes the JSON text of a ticket and validates it against the schema. Any
// error is an *InvalidError, with number 0 if the text has no valid number.
func Parse(data []byte) (t wire.Ticket, err error) {
	if len(data) > MaxBytes {
		return t, invalid(0, "document", "got %d bytes, want at most %d", len(data), MaxBytes)
	}
	value, err := schema.Decode(data)
	if err != nil {
		return t, fromFieldError(0, "", err)
	}
	number := numberOf(value)
	if checkErr := ticketSchema().Check(value); checkErr != nil {
		return t, fromFieldError(number, "", checkErr)
	}
	// With a repeated key only the last value was validated, but Unmarshal would
	// merge the earlier ones into it. So decode the validated value, not data.
	text, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(text, &t)
	}
	if err != nil {
		return wire.Ticket{}, invalid(number, "document", "%v", err)
	}
	return t, nil
}

// numberOf returns the ticket number in a decoded document, or 0 if it has none.
func numberOf(value any) wire.TicketNumber {
	doc, _ := value.(map[string]any)
	n, _ := doc["number"].(int64)
	return wire.TicketNumber(max(n, 0))
}

// fromFieldError converts a schema error; prefix is prepended to the field's path.
func fromFieldError(n wire.TicketNumber, prefix string, err error) *InvalidError {
	fieldErr, ok := err.(*wire.FieldError)
	if !ok {
		return invalid(n, "document", "%v", err)
	}
	field := prefix + fieldErr.Field
	if field == "" {
		field = "document"
	}
	return invalid(n, field, "got %v, want %s", fieldErr.Value, fieldErr.Want)
}

// checkObject validates an object without regard to others and returns the first
// error. The argument field is the object's path in the ticket.
func checkObject(field string, o *wire.Object) error {
	text, err := json.Marshal(o)
	if err != nil {
		return invalid(o.Number, field, "%v", err)
	}
	value, err := schema.Decode(text)
	if err != nil {
		return fromFieldError(o.Number, field+".", err)
	}
	if checkErr := objectSchema().Check(value); checkErr != nil {
		return fromFieldError(o.Number, field+".", checkErr)
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

// checkKindFields checks that of the fields Team, Pipeline, Upstream, Centre, Model and
// Key exactly the one for the object's kind is set, or none in a tombstone.
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
		path := field + "." + string(p.kind)
		switch {
		case p.set && o.Deleted:
			return invalid(o.Number, path, "got a value in a deleted object, want none")
		case p.set && p.kind != o.Kind:
			return invalid(o.Number, path, "got a value in an object of kind %s, want none", o.Kind)
		case !p.set && p.kind == o.Kind && !o.Deleted:
			return invalid(o.Number, path, "got no value, want one in an object of kind %s", o.Kind)
		}
	}
	return nil
}

// checkStages checks that stage names are distinct and that at most one stage is
// non-repeatable.
func checkStages(n wire.TicketNumber, field string, stages []wire.Stage) error {
	names := make(map[wire.StageID]bool, len(stages))
	onceStages := 0
	for i, st := range stages {
		if names[st.Name] {
			return invalid(n, fmt.Sprintf("%s.%d.name", field, i), "got %s twice, want distinct names", st.Name)
		}
		names[st.Name] = true
		if !st.Once {
			continue
		}
		if onceStages++; onceStages > 1 {
			return invalid(n, fmt.Sprintf("%s.%d.once", field, i), "got a second non-repeatable stage, want at most one a pipeline")
		}
	}
	return nil
}

// checkDistances checks the number and the names of the data centres in d.
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
