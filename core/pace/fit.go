package pace

// fitDecay is the weight that earlier samples keep when one is added, so that about a hundred
// count.
const fitDecay = 0.99

// minFit is the weight of the samples from which on a line is fitted to them.
const minFit = 8

// fit is a line fitted to samples by least squares, of which later ones count more.
type fit struct{ n, x, y, xx, xy float64 }

func (f *fit) add(x, y float64) {
	f.n = fitDecay*f.n + 1
	f.x = fitDecay*f.x + x
	f.y = fitDecay*f.y + y
	f.xx = fitDecay*f.xx + x*x
	f.xy = fitDecay*f.xy + x*y
}

// at returns the value expected at x, or 0 if too few samples are known. The line does not
// fall and is not negative.
func (f *fit) at(x float64) float64 {
	if f.n < minFit {
		return 0
	}
	slope := 0.0
	if v := f.n*f.xx - f.x*f.x; v > 0 {
		slope = max((f.n*f.xy-f.x*f.y)/v, 0)
	}
	return max(f.y/f.n+slope*(x-f.x/f.n), 0.1*f.y/f.n)
}
