// Package policy measures the decision packages (route, share, limit, budget,
// member, crash) against simpler policies. It drives them from one event loop in
// virtual time with a small model of upstreams: batch slots, time per token,
// prefill less the cached prefix, cold capacity. It is not a cluster simulator:
// the network is a constant delay, and there are no sessions or frames.
//
// An event loop is used rather than testing/synctest because the decision
// packages take the time as an argument, a loop without goroutines prints the
// same bytes for the same seed, and the command needs no test binary.
package policy
