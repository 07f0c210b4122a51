// Package load is an open-loop load generator for routers. Requests start at times drawn
// from a seed, whether or not earlier ones have been answered, and latencies are measured
// from those times, so that a slow router cannot hide its delays by slowing the load.
package load
