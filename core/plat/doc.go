// Package plat reads the platform's configuration service and host list. The
// Client makes single reads within a rate; the Watcher follows the tickets and
// keeps trying while the service is down, stale or limits the rate.
package plat
