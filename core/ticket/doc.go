// Package ticket keeps the configuration objects that change tickets set. A
// Store is immutable; Apply and Merge return a new one that shares what did not
// change. For each object the highest ticket number wins.
package ticket
