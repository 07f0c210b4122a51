// Package load is an open-loop load generator for routers. Requests start at times that
// a seed decides, whether or not earlier ones have been answered, and latencies count
// from those times.
package load
