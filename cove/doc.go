// Package cove implements the operator's command-line tool. It reads the
// administration API of routers and agents and never changes a fleet; only tickets
// do that.
package cove
