// Package cove is the operator's command. It reads the administration API of
// routers and agents; it changes nothing in a fleet, which only tickets do.
package cove
