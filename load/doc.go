// Package load is under construction.
package load
