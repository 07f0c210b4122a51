package wire

import (
	"fmt"
	"strings"
)

// FieldError is the error for a field whose value is out of its range. Want describes
// the allowed values.
type FieldError struct {
	Field string
	Value any
	Want  string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: got %v, want %s", e.Field, e.Value, e.Want)
}

// checkText checks that s has at most maxBytes bytes and, if required, isn't empty.
func checkText(field, s string, maxBytes int, required bool) error {
	if required && s == "" {
		return &FieldError{field, `""`, "a value"}
	}
	if len(s) > maxBytes {
		return &FieldError{field, fmt.Sprintf("%d bytes", len(s)), fmt.Sprintf("at most %d bytes", maxBytes)}
	}
	return nil
}

// checkRange checks that n is in the range from low to high, both included.
func checkRange(field string, n, low, high int) error {
	if n < low || n > high {
		return &FieldError{field, n, fmt.Sprintf("%d to %d", low, high)}
	}
	return nil
}

// checkOneOf checks that v is one of the allowed values.
func checkOneOf[T ~string](field string, v T, allowed ...T) error {
	for _, a := range allowed {
		if v == a {
			return nil
		}
	}
	names := make([]string, len(allowed))
	for i, a := range allowed {
		names[i] = string(a)
	}
	return &FieldError{field, string(v), "one of " + strings.Join(names, ", ")}
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

const (
	maxNameLen  = 64      // bytes; also limits the entries of the lists in a report
	maxUUIDLen  = 36      // bytes
	maxTokenLen = 160     // bytes
	maxMillis   = 600_000 // ten minutes
	maxAttempt  = 64
	maxMarks    = 256
)

// Limits of counts in messages. A process clamps the counts that it gets from an
// upstream to these limits, since its peers would drop the message otherwise.
const (
	MaxSlots Slots = 65_536
	// MaxCost bounds each field of a Cost but Calls, which MaxSlots bounds.
	MaxCost = 1 << 40
)

// Clamped returns c with each field clamped to its range.
func (c Cost) Clamped() Cost {
	c.Input = min(max(c.Input, 0), MaxCost)
	c.Cached = min(max(c.Cached, 0), c.Input)
	c.Output = min(max(c.Output, 0), MaxCost)
	c.Calls = min(max(c.Calls, 0), int(MaxSlots))
	c.Busy = min(max(c.Busy, 0), MaxCost)
	return c
}

// Check reports the first field of r that is out of range.
func (r Ref) Check() error {
	return firstError(
		checkText("ref.request", string(r.Request), maxUUIDLen, true),
		checkText("ref.stage", string(r.Stage), maxNameLen, true),
		checkRange("ref.attempt", int(r.Attempt), 1, maxAttempt),
	)
}

// Check reports the first field of c that is out of range.
func (c *Call) Check() error {
	err := firstError(
		c.Ref.Check(),
		checkText("call.team", string(c.Team), maxNameLen, true),
		checkText("call.pipeline", string(c.Pipeline), maxNameLen, true),
		checkText("call.model", string(c.Model), maxNameLen, false),
		checkText("call.adapter", string(c.Adapter), maxNameLen, false),
		checkText("call.token", string(c.Token), maxTokenLen, c.Once),
		checkText("call.print", string(c.Print), 32, true),
		checkOneOf("call.kind", c.Kind, KindEncode, KindRetrieve, KindRerank, KindGenerate, KindPlain),
		checkOneOf("call.rank", c.Rank, RankInteractive, RankBatch),
		checkRange("call.weight", c.Weight, 1, 1000),
		checkRange("call.left", int(c.Left), 1, maxMillis),
	)
	return err
}

// Check reports the first field of r that is out of range.
func (r *Report) Check() error {
	return firstError(
		checkText("report.upstream", string(r.Upstream), maxNameLen, true),
		checkText("report.incarnation", string(r.Incarnation), maxUUIDLen, true),
		checkText("report.boot", string(r.Boot), maxNameLen, false),
		checkOneOf("report.warmth", r.Warmth, WarmthCold, WarmthWarming, WarmthWarm),
		checkRange("report.limit", int(r.Limit), 0, int(MaxSlots)),
		checkRange("report.flight", int(r.Flight), 0, int(MaxSlots)),
		checkRange("report.queued", int(r.Queued), 0, int(MaxSlots)),
		checkRange("report.prefixes", len(r.Prefixes), 0, maxNameLen),
		checkText("report.model", string(r.Model), maxNameLen, false),
		checkRange("report.adapters", len(r.Adapters), 0, maxNameLen),
	)
}

// Check reports the first field of r that is out of range.
func (r *Refuse) Check() error {
	err := firstError(
		r.Ref.Check(),
		checkText("refuse.reason", string(r.Reason), maxNameLen, true),
		checkOneOf("refuse.executed", r.Executed, ExecutedNone, ExecutedSome, ExecutedUnknown),
		checkRange("refuse.retry", int(r.Retry), 0, maxMillis),
	)
	if err == nil && r.Report != nil {
		err = r.Report.Check()
	}
	return err
}

// Check reports the first field of r that is out of range.
func (r *Result) Check() error {
	err := firstError(
		r.Ref.Check(),
		checkOneOf("result.outcome", r.Outcome, OutcomeDone, OutcomeFailed),
		checkOneOf("result.executed", r.Executed, ExecutedNone, ExecutedSome, ExecutedUnknown),
		checkRange("result.chunks", r.Chunks, 0, 1<<20),
		r.Cost.Check(),
	)
	if err == nil && r.Report != nil {
		err = r.Report.Check()
	}
	return err
}

// Check reports the first field of c that is out of range.
func (c Cost) Check() error {
	return firstError(
		checkRange("cost.input", int(c.Input), 0, MaxCost),
		checkRange("cost.cached", int(c.Cached), 0, int(c.Input)),
		checkRange("cost.output", int(c.Output), 0, MaxCost),
		checkRange("cost.calls", c.Calls, 0, int(MaxSlots)),
		checkRange("cost.busy", int(c.Busy), 0, MaxCost),
	)
}

// Check reports the first field of h that is out of range.
func (h *Hello) Check() error {
	return firstError(
		checkOneOf("hello.role", h.Role, RoleRouter, RoleAgent),
		checkText("hello.name", string(h.Name), maxNameLen, true),
		checkText("hello.centre", string(h.Centre), maxNameLen, true),
		checkText("hello.incarnation", string(h.Incarnation), maxUUIDLen, true),
		checkRange("hello.version", int(h.Version), 1, int(MaxSlots)),
	)
}

// Check reports the first field of s that is out of range.
func (s *Sync) Check() error {
	err := firstError(
		checkRange("sync.head.buckets", len(s.Head.Buckets), 0, 64),
		checkRange("sync.want", len(s.Want), 0, 64),
		checkRange("sync.objects", len(s.Objects), 0, 4096),
		checkRange("sync.marks", len(s.Marks), 0, maxMarks),
	)
	if err != nil {
		return err
	}
	for _, w := range s.Want {
		if err = checkRange("sync.want", w, 0, 63); err != nil {
			return err
		}
	}
	for i := range s.Marks {
		if err = s.Marks[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check reports the first field of m that is out of range.
func (m *Mark) Check() error {
	return firstError(
		checkText("mark.print", string(m.Print), 32, true),
		checkText("mark.team", string(m.Team), maxNameLen, true),
		checkText("mark.pipeline", string(m.Pipeline), maxNameLen, true),
		checkOneOf("mark.state", m.State, MarkStateSuspect, MarkStateQuarantined, MarkStateCleared),
		checkRange("mark.left", int(m.Left), 0, 3_600_000),
	)
}

// Check reports an error unless exactly one message is set and valid.
func (f *Frame) Check() (err error) {
	count := 0
	check := func(present bool, validate func() error) {
		if !present {
			return
		}
		count++
		if err == nil {
			err = validate()
		}
	}
	check(f.Call != nil, func() error { return f.Call.Check() })
	check(f.Query != nil, func() error {
		return firstError(f.Query.Ref.Check(), checkRange("query.next", f.Query.Next, 0, 1<<20))
	})
	check(f.Ack != nil, func() error { return f.Ack.Ref.Check() })
	check(f.Reserve != nil, func() error { return checkText("reserve.team", string(f.Reserve.Team), maxNameLen, true) })
	check(f.Reserved != nil, func() error { return checkText("reserved.token", string(f.Reserved.Token), maxTokenLen, true) })
	check(f.Accept != nil, func() error { return f.Accept.Ref.Check() })
	check(f.Refuse != nil, func() error { return f.Refuse.Check() })
	check(f.Chunk != nil, func() error {
		return firstError(f.Chunk.Ref.Check(), checkRange("chunk.number", f.Chunk.Number, 0, 1<<20))
	})
	check(f.Result != nil, func() error { return f.Result.Check() })
	check(f.Hello != nil, func() error { return f.Hello.Check() })
	check(f.Report != nil, func() error { return f.Report.Check() })
	check(f.Sync != nil, func() error { return f.Sync.Check() })
	if count != 1 {
		return &FieldError{"frame", fmt.Sprintf("%d messages", count), "exactly one"}
	}
	return err
}
