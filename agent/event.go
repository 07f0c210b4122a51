package agent

import (
	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/wire"
)

// logEvent logs one line and counts one event, so that the log and the counters
// agree.
func (a *Agent) logEvent(level log.Level, event string, reason wire.Reason, msg string, keyvals ...any) {
	a.Inc(event, reason)
	a.log.Log(level, msg, append(keyvals, "reason", reason)...)
}

// logRefusal notes that a router was refused something.
func (a *Agent) logRefusal(f *wire.Refuse) *wire.Refuse {
	a.logEvent(log.InfoLevel, "refused", f.Reason, "call refused", "request", f.Ref.Request, "stage", f.Ref.Stage,
		"attempt", f.Ref.Attempt, "executed", f.Executed)
	return f
}

// logDiscard notes a message that was dropped.
func (a *Agent) logDiscard(what string) {
	a.logEvent(log.WarnLevel, "discarded", wire.ReasonMalformed, "message dropped", "message", what)
}
