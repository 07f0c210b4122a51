// Package plat reads the platform's configuration service and host list. A Client
// makes single reads under a rate limit; a Watcher follows the change tickets and
// retries while the service is down, stale or refuses reads because of their rate.
package plat
