// Package acct keeps the accounts of refusals and costs: by minute, team,
// pipeline, stage and reason for the last hour, and as totals since the start.
// Each entry is also one log line.
package acct
