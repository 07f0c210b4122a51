// Package pace estimates the load and the pace of upstreams, from which package route chooses.
//
// A router knows its own requests exactly, those of the other routers only from the figures
// that upstreams tell in answers and in replies to probes. A figure loses weight with its age
// and then counts for nothing; what is not known is taken to be as at the other upstreams.
// Load counts work in typical requests: the prompt tokens that an engine has still to read
// and the output tokens that it has still to write, relative to the mean of the service.
//
// Two causes of slowness are told apart. The pace that an upstream tells changes several
// times a second and is forgotten as fast. The lasting speed is learnt from the time of
// answers relative to the expected time, after division by the pace told for them.
//
// The probes follow Prequal (Wydrowski et al., Load is not what you should balance, NSDI
// 2024), but ask the upstream that would be chosen rather than random ones, since prompts
// prefer the engine that holds their parts. The package does no I/O; times and random
// numbers are arguments.
package pace
