package bench

import (
	"cmp"
	"fmt"
	"io"
)

// Row is one row of the table of figures at the target size.
type Row struct {
	Role, Quantity string
	Value, StdErr  float64 // with its standard error, 0 if there is none
	Unit           string
	Target         float64 // most that the target allows; 0 means that there is none
	Note           string  // where the value goes beyond the measured sizes, and other limits
	Mechanism      string
	BreaksAt       string // first figure at which the target no longer holds
	Remedy         string // what would bring a missed target back
}

// Missed reports whether the value is over its target.
func (l Row) Missed() bool { return l.Target > 0 && l.Value > l.Target }

// Verdict says whether the target is met and by how much.
func (l Row) Verdict() string {
	switch {
	case l.Target == 0:
		return "no target"
	case l.Value < 0:
		return "not determined" // noise outweighs the slope
	case l.Value <= l.Target:
		return fmt.Sprintf("met, %s%% of it", formatNumber(100*l.Value/l.Target))
	default:
		return fmt.Sprintf("**missed, %sx**", formatNumber(l.Value/l.Target))
	}
}

func (l Row) formatValue() string {
	text := formatNumber(l.Value)
	if l.StdErr > 0 {
		text += " ± " + formatNumber(l.StdErr)
	}
	return text + " " + l.Unit
}

func (l Row) formatTarget() string {
	if l.Target == 0 {
		return "-"
	}
	return formatNumber(l.Target) + " " + l.Unit
}

// WriteTable prints lines as a table in Markdown.
func WriteTable(w io.Writer, lines []Row) {
	fmt.Fprintln(w, "| role | quantity | at the target size | target | result | mechanism | first breaks at | beyond what was measured |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, l := range lines {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s |\n",
			l.Role, l.Quantity, l.formatValue(), l.formatTarget(), l.Verdict(), l.Mechanism, cmp.Or(l.BreaksAt, "-"), cmp.Or(l.Note, "no"))
	}
}

// WriteMissed lists the targets that are missed, by how much, and what would
// change that.
func WriteMissed(w io.Writer, lines []Row) {
	n := 0
	for _, l := range lines {
		if l.Missed() {
			n++
			fmt.Fprintf(w, "- %s, %s: %s of %s %s (%sx). %s\n", l.Role, l.Quantity, formatNumber(l.Value), formatNumber(l.Target), l.Unit,
				formatNumber(l.Value/l.Target), cmp.Or(l.Remedy, "No remedy is known."))
		}
	}
	if n == 0 {
		fmt.Fprintln(w, "None.")
	}
}
