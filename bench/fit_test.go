package bench

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLeast guards against wrong slopes and standard errors, from which every
// figure at the target size follows.
func TestLeast(t *testing.T) {
	tests := []struct {
		name      string
		xs        [][]float64
		ys        []float64
		coef, err []float64
	}{
		{"exact line", [][]float64{{1}, {2}, {3}}, []float64{5, 7, 9}, []float64{3, 2}, []float64{0, 0}},
		// By hand: slope 0.6, residuals -0.2 0.4 -0.2, variance 0.24 over 1 degree of freedom.
		{"scattered line", [][]float64{{0}, {1}, {2}}, []float64{0, 1, 1}, []float64{1.0 / 6, 0.5}, []float64{math.Sqrt(5.0 / 36), math.Sqrt(1.0 / 12)}},
		{"two sizes", [][]float64{{10, 5}, {100, 5}, {11_000, 5}, {10, 800}}, []float64{1 + 20 + 15, 1 + 200 + 15, 1 + 22_000 + 15, 1 + 20 + 2400}, []float64{1, 2, 3}, []float64{0, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, err := LeastSquares(tt.xs, tt.ys)
			assert.NilError(t, err)
			for i := range tt.coef {
				near(t, f.Coef[i], tt.coef[i])
				near(t, f.StdErr[i], tt.err[i])
			}
		})
	}
}

func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 1e-6*(1+math.Abs(want)), "got %g, want %g", got, want)
}

// TestLeastSingular guards against slopes from sizes that do not differ.
func TestLeastSingular(t *testing.T) {
	for _, xs := range [][][]float64{nil, {{1}, {1}, {1}}, {{1, 2}, {2, 4}, {3, 6}}} {
		_, err := LeastSquares(xs, make([]float64, len(xs)))
		assert.ErrorIs(t, err, errSingular)
	}
}

// TestReach guards against a wrong figure at which a target breaks.
func TestReach(t *testing.T) {
	f, err := LeastSquares([][]float64{{1}, {2}, {3}}, []float64{5, 7, 9})
	assert.NilError(t, err)
	near(t, f.Reach(23, 0, 1), 10)
	flat, err := LeastSquares([][]float64{{1}, {2}, {3}}, []float64{5, 4, 3})
	assert.NilError(t, err)
	assert.Assert(t, math.IsInf(flat.Reach(23, 0, 1), 1))
}
