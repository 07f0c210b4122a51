package bench

import (
	"errors"
	"math"
)

// Fit is a linear model y = Coef[0] + Coef[1] x[0] + Coef[2] x[1] + ... with the
// standard error of each coefficient.
type Fit struct {
	Coef, StdErr []float64
	cov          [][]float64 // of the coefficients
}

var errSingular = errors.New("points do not determine the slopes")

// LeastSquares fits a linear model by least squares. With no more points than
// coefficients the standard errors are 0.
func LeastSquares(xs [][]float64, ys []float64) (f Fit, err error) {
	if len(xs) == 0 || len(xs) != len(ys) {
		return f, errSingular
	}
	n := len(xs[0]) + 1
	normal, right := make([][]float64, n), make([]float64, n)
	for i := range normal {
		normal[i] = make([]float64, n)
	}
	for p, x := range xs {
		row := append([]float64{1}, x...)
		for i := range n {
			for j := range n {
				normal[i][j] += row[i] * row[j]
			}
			right[i] += row[i] * ys[p]
		}
	}
	inverse, err := invert(normal)
	if err != nil {
		return f, err
	}
	f.Coef, f.StdErr, f.cov = make([]float64, n), make([]float64, n), inverse
	for i := range n {
		for j := range n {
			f.Coef[i] += inverse[i][j] * right[j]
		}
	}
	variance := f.residualVariance(xs, ys)
	for i := range n {
		for j := range n {
			f.cov[i][j] *= variance
		}
		f.StdErr[i] = math.Sqrt(max(f.cov[i][i], 0))
	}
	return f, nil
}

// residualVariance returns the variance of the points around the model.
func (f Fit) residualVariance(xs [][]float64, ys []float64) float64 {
	free := len(ys) - len(f.Coef)
	if free <= 0 {
		return 0
	}
	var sum float64
	for p, x := range xs {
		y, _ := f.At(x...)
		sum += (ys[p] - y) * (ys[p] - y)
	}
	return sum / float64(free)
}

// At returns the model's value and its standard error at x.
func (f Fit) At(x ...float64) (y, se float64) {
	row := append([]float64{1}, x...)
	var variance float64
	for i := range row {
		y += f.Coef[i] * row[i]
		for j := range row {
			variance += row[i] * f.cov[i][j] * row[j]
		}
	}
	return y, math.Sqrt(max(variance, 0))
}

// Reach returns the value of variable v at which the model reaches y while the
// others are as in x. It is infinite when the model does not grow with v.
func (f Fit) Reach(y float64, v int, x ...float64) float64 {
	if f.Coef[v+1] <= 0 {
		return math.Inf(1)
	}
	now, _ := f.At(x...)
	return x[v] + (y-now)/f.Coef[v+1]
}

// invert inverts a small matrix by Gauss-Jordan elimination with pivoting. The
// rows and columns are scaled first, since sizes differ by orders of magnitude.
func invert(m [][]float64) ([][]float64, error) {
	n := len(m)
	scale := make([]float64, n)
	a := make([][]float64, n)
	for i := range n {
		if m[i][i] <= 0 {
			return nil, errSingular
		}
		scale[i] = 1 / math.Sqrt(m[i][i])
	}
	for i := range n {
		a[i] = make([]float64, 2*n)
		for j := range n {
			a[i][j] = m[i][j] * scale[i] * scale[j]
		}
		a[i][n+i] = 1
	}
	for c := range n {
		if err := eliminate(a, c); err != nil {
			return nil, err
		}
	}
	out := make([][]float64, n)
	for i := range n {
		out[i] = a[i][n:]
		for j := range n {
			out[i][j] *= scale[i] * scale[j]
		}
	}
	return out, nil
}

func eliminate(a [][]float64, c int) error {
	const tiny = 1e-12 // relative to the scaled diagonal of 1
	best := c
	for r := c + 1; r < len(a); r++ {
		if math.Abs(a[r][c]) > math.Abs(a[best][c]) {
			best = r
		}
	}
	if math.Abs(a[best][c]) < tiny {
		return errSingular
	}
	a[c], a[best] = a[best], a[c]
	pivot := a[c][c]
	for j := range a[c] {
		a[c][j] /= pivot
	}
	for r := range a {
		if r == c {
			continue
		}
		factor := a[r][c]
		for j := range a[r] {
			a[r][j] -= factor * a[c][j]
		}
	}
	return nil
}
