package bench

import (
	"cmp"
	"fmt"
	"io"
)

// Row is one row of the table of figures at the target size. Value, StdErr and Target
// are in Unit.
type Row struct {
	Role, Quantity string  // who bears the cost, and what is measured
	Value, StdErr  float64 // value and its standard error, 0 if there is none
	Unit           string
	Target         float64 // largest value that meets the target; 0 means that there is no target
	Note           string  // how far the value is extrapolated, and other limits of it
	Mechanism      string  // what causes or bounds the cost
	BreaksAt       string  // size at which the target is first missed
	Remedy         string  // change that would meet a missed target
}

// Missed reports whether the value is over its target.
func (r Row) Missed() bool { return r.Target > 0 && r.Value > r.Target }

// Verdict describes whether the target is met and by how much.
func (r Row) Verdict() string {
	switch {
	case r.Target == 0:
		return "no target"
	case r.Value < 0:
		return "not determined" // noise exceeds the slope of the fit
	case r.Value <= r.Target:
		return fmt.Sprintf("met, %s%% of it", formatNumber(100*r.Value/r.Target))
	default:
		return fmt.Sprintf("**missed, %sx**", formatNumber(r.Value/r.Target))
	}
}

func (r Row) formatValue() string {
	text := formatNumber(r.Value)
	if r.StdErr > 0 {
		text += " ± " + formatNumber(r.StdErr)
	}
	return text + " " + r.Unit
}

func (r Row) formatTarget() string {
	if r.Target == 0 {
		return "-"
	}
	return formatNumber(r.Target) + " " + r.Unit
}

// WriteTable writes rows as a table in Markdown.
func WriteTable(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| role | quantity | at the target size | target | result | mechanism | first breaks at | beyond what was measured |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s |\n",
			r.Role, r.Quantity, r.formatValue(), r.formatTarget(), r.Verdict(), r.Mechanism, cmp.Or(r.BreaksAt, "-"), cmp.Or(r.Note, "no"))
	}
}

// WriteMissed writes a list of the missed targets in Markdown, with the factor by which
// each is missed and its remedy.
func WriteMissed(w io.Writer, rows []Row) {
	missed := 0
	for _, r := range rows {
		if r.Missed() {
			missed++
			fmt.Fprintf(w, "- %s, %s: %s of %s %s (%sx). %s\n", r.Role, r.Quantity, formatNumber(r.Value), formatNumber(r.Target), r.Unit,
				formatNumber(r.Value/r.Target), cmp.Or(r.Remedy, "No remedy is known."))
		}
	}
	if missed == 0 {
		fmt.Fprintln(w, "None.")
	}
}
