// Package matrix holds the fault matrix: every fault at every step of a request,
// in virtual time, on the real router and agent with small fakes at their
// interfaces. A checker judges the guarantees of the design page from what the
// fakes and the callers recorded. A naive implementation runs in the same world
// to show that the checker sees each guarantee broken.
package matrix
