// Package admin holds the types and limits of the administration API, which
// routers and agents serve and the command cove reads. It does no I/O.
package admin
