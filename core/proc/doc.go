// Package proc is the skeleton of a process: JSON log lines, metrics, state dump,
// signals, the administration listener and the drain sequence.
package proc
