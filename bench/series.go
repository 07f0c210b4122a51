package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Point is one measured value at a size.
type Point struct {
	X []float64
	Y float64
}

// Series is a quantity measured at several sizes.
type Series struct {
	Part, Name, Unit string
	Vars             []string // names of the sizes in X
	Points           []Point
}

// Add appends a measured value.
func (s *Series) Add(y float64, x ...float64) { s.Points = append(s.Points, Point{x, y}) }

// Fit fits the slopes of the series.
func (s *Series) Fit() (Fit, error) {
	xs, ys := make([][]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	f, err := LeastSquares(xs, ys)
	if err != nil {
		return f, fmt.Errorf("fit %s: %w", s.Name, err)
	}
	return f, nil
}

// MaxSizes returns the largest measured size of each variable.
func (s *Series) MaxSizes() []float64 {
	out := make([]float64, len(s.Vars))
	for _, p := range s.Points {
		for i, x := range p.X {
			out[i] = max(out[i], x)
		}
	}
	return out
}

// MeasuredAt returns the value measured at x.
func (s *Series) MeasuredAt(x ...float64) (y float64, ok bool) {
	for _, p := range s.Points {
		if slices.Equal(p.X, x) {
			return p.Y, true
		}
	}
	return 0, false
}

// Extrapolation returns how many times the largest measured size x is, or "" when x was
// measured.
func (s *Series) Extrapolation(x ...float64) string {
	var parts []string
	for i, most := range s.MaxSizes() {
		if x[i] > most && most > 0 {
			parts = append(parts, fmt.Sprintf("%s %.1fx the largest measured", s.Vars[i], x[i]/most))
		}
	}
	return strings.Join(parts, ", ")
}

// Write prints the points and the fit as a table in Markdown.
func (s *Series) Write(w io.Writer) {
	fmt.Fprintf(w, "\n%s, %s:\n\n| %s | value |\n|%s---|\n", s.Name, s.Unit, strings.Join(s.Vars, " | "), strings.Repeat("---|", len(s.Vars)))
	for _, p := range s.Points {
		for _, x := range p.X {
			fmt.Fprintf(w, "| %s ", formatNumber(x))
		}
		fmt.Fprintf(w, "| %s |\n", formatNumber(p.Y))
	}
	f, err := s.Fit()
	if err != nil {
		fmt.Fprintf(w, "\nNo fit: %v.\n", err)
		return
	}
	fmt.Fprintf(w, "\nFit: %s ± %s", formatNumber(f.Coef[0]), formatNumber(f.StdErr[0]))
	for i, v := range s.Vars {
		fmt.Fprintf(w, " + (%s ± %s) per unit of %s", formatNumber(f.Coef[i+1]), formatNumber(f.StdErr[i+1]), v)
	}
	fmt.Fprintln(w, ".")
}

// formatNumber prints a value with three significant digits, and whole numbers in full.
func formatNumber(x float64) string {
	switch a := math.Abs(x); {
	case math.IsInf(x, 0):
		return "no limit"
	case a >= 100 || x == math.Trunc(x):
		return groupThousands(fmt.Sprintf("%.0f", x))
	case a >= 10:
		return fmt.Sprintf("%.1f", x)
	case a >= 0.001:
		return fmt.Sprintf("%.3g", x)
	default:
		return fmt.Sprintf("%.2g", x)
	}
}

// groupThousands separates thousands.
func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}
