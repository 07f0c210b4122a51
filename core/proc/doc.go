// Package proc is the runtime that all processes share: JSON logging, metrics,
// state dumps, signals, the administration listener and the drain sequence.
package proc
