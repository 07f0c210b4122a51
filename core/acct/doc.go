// Package acct accounts for refused requests and for the cost of stage runs: by
// minute, team, pipeline, stage and reason for the last hour, and as totals since
// the start of the process. Each refusal and each run is also logged as one line.
package acct
