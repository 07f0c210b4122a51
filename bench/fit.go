package bench

import (
	"errors"
	"math"
)

// Fit is a linear model y = Coef[0] + Coef[1] x[0] + Coef[2] x[1] + ... with the
// standard error of each coefficient.
type Fit struct {
	Coef, StdErr []float64
	cov          [][]float64 // covariance matrix of the coefficients
}

var errSingular = errors.New("points do not determine the slopes")

// LeastSquares fits a linear model to the values ys at the points xs by ordinary least
// squares. With no more points than coefficients the standard errors are 0. It returns
// an error when the points do not determine the coefficients.
func LeastSquares(xs [][]float64, ys []float64) (f Fit, err error) {
	if len(xs) == 0 || len(xs) != len(ys) {
		return f, errSingular
	}
	n := len(xs[0]) + 1
	normal, rhs := make([][]float64, n), make([]float64, n)
	for i := range normal {
		normal[i] = make([]float64, n)
	}
	for p, x := range xs {
		row := append([]float64{1}, x...)
		for i := range n {
			for j := range n {
				normal[i][j] += row[i] * row[j]
			}
			rhs[i] += row[i] * ys[p]
		}
	}
	inverse, err := invert(normal)
	if err != nil {
		return f, err
	}
	f.Coef, f.StdErr, f.cov = make([]float64, n), make([]float64, n), inverse
	for i := range n {
		for j := range n {
			f.Coef[i] += inverse[i][j] * rhs[j]
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

// residualVariance returns the variance of the residuals, or 0 without degrees of
// freedom.
func (f Fit) residualVariance(xs [][]float64, ys []float64) float64 {
	degreesOfFreedom := len(ys) - len(f.Coef)
	if degreesOfFreedom <= 0 {
		return 0
	}
	var sum float64
	for p, x := range xs {
		y, _ := f.At(x...)
		sum += (ys[p] - y) * (ys[p] - y)
	}
	return sum / float64(degreesOfFreedom)
}

// At returns the value of the model at x and its standard error.
func (f Fit) At(x ...float64) (y, stdErr float64) {
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

// Reach returns the value of variable v at which the model reaches y while the other
// variables are as in x. It is infinite when the model does not grow with v.
func (f Fit) Reach(y float64, v int, x ...float64) float64 {
	if f.Coef[v+1] <= 0 {
		return math.Inf(1)
	}
	current, _ := f.At(x...)
	return x[v] + (y-current)/f.Coef[v+1]
}

// invert inverts a small matrix by Gauss-Jordan elimination with pivoting. The
// rows and columns are scaled to a diagonal of 1 first, since sizes differ by orders
// of magnitude.
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
	for col := range n {
		if err := eliminate(a, col); err != nil {
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

// eliminate performs one Gauss-Jordan step on the augmented matrix a: it moves the row
// with the largest pivot in column col to row col, scales the pivot to 1 and clears the
// column in all other rows.
func eliminate(a [][]float64, col int) error {
	const minPivot = 1e-12 // relative to the scaled diagonal of 1; smaller means singular
	pivotRow := col
	for r := col + 1; r < len(a); r++ {
		if math.Abs(a[r][col]) > math.Abs(a[pivotRow][col]) {
			pivotRow = r
		}
	}
	if math.Abs(a[pivotRow][col]) < minPivot {
		return errSingular
	}
	a[col], a[pivotRow] = a[pivotRow], a[col]
	pivot := a[col][col]
	for j := range a[col] {
		a[col][j] /= pivot
	}
	for r := range a {
		if r == col {
			continue
		}
		factor := a[r][col]
		for j := range a[r] {
			a[r][j] -= factor * a[col][j]
		}
	}
	return nil
}
