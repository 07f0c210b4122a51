// Package matrix holds the fault matrix: a test that injects every fault at
// every step of a request. It runs the real router and agent in virtual time,
// on an in-memory network and with a fake platform and fake upstreams. A
// checker verifies the guarantees of the design page from what the fakes and
// the callers recorded. A naive router runs in the same simulation to show that
// the checker detects a violation of each guarantee.
package matrix
