// Package shed decides which requests are delayed or turned away while callers ask more of a
// service than it can do: those that cost callers least. It does no I/O.
//
// The load that it answers is a shortage of some seconds: a burst of one or two kinds of requests,
// a team that sends far more than usual, upstreams that fail. [State.Required] says which part of
// each rank's demand for a service has to be turned away so that the rest is on time, the least
// urgent first, and a [Level] smooths it. All routers apply the level that the owners of the
// service's queues report. A [Mix] divides the part of a rank among its classes of requests: first
// those of teams that exceed their share of the service, then those that will miss their target
// anyway, then large ones.
package shed
