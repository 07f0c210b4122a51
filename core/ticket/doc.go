// Package ticket stores the configuration objects that change tickets set. A
// Store is immutable: Apply and Merge return a new one that shares the unchanged
// parts. For each object the version with the highest ticket number wins. A deleted
// object leaves a tombstone.
package ticket
