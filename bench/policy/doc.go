// Package policy compares the decision packages (route, share, limit, budget,
// member, crash) with simpler policies. It simulates them in virtual time on a
// small model of upstreams: batch slots, time per token, prefill that is shorter
// for a cached prefix, and cold capacity. It is not a cluster simulator: the
// network is a constant delay, and there are no sessions or frames.
//
// It uses an event loop rather than testing/synctest because the decision
// packages take the time as an argument, a loop without goroutines gives the
// same output for the same seed, and the command needs no test binary.
package policy
