// Package bench measures how the cost of each part of the system grows with the
// size of the fleet, and extrapolates the figures at the target size from linear
// fits.
package bench
