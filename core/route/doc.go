// Package route decides which replicas a router holds sessions to and which of
// them receives a call. Its functions are pure: all inputs are arguments.
package route
