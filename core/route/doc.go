// Package route implements the load-balancing decisions of routers and entries:
// subsetting, replica choice by load, prefix affinity, rendezvous hashing and
// outlier ejection. It does no I/O; times and random sources are arguments.
package route
