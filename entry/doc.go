// Package entry is the router of deployments whose upstreams are called directly:
// it takes callers' requests over HTTP, makes the stage results that they need, and
// passes them on to upstreams, which it learns from the platform's store. Routers
// find each other through seeds and share what they know; none is needed by others.
package entry
