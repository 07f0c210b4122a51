// Package agent is under construction.
package agent
