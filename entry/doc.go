// Package entry implements the router of deployments whose upstreams are called
// directly. It accepts callers' requests over HTTP, runs the stages that they need,
// and forwards them to upstreams, which it discovers in the platform's store. Routers
// find each other through seed addresses and exchange heartbeats and state; no router
// depends on another one.
package entry
