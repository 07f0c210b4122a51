package agent

import (
	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/wire"
)

// logEvent logs a message and increments the event's counter, so that the log and
// the counters agree.
func (a *Agent) logEvent(level log.Level, event string, reason wire.Reason, msg string, keyvals ...any) {
	a.Inc(event, reason)
	a.log.Log(level, msg, append(keyvals, "reason", reason)...)
}

// logRefusal logs and counts a refusal and returns it.
func (a *Agent) logRefusal(f *wire.Refuse) *wire.Refuse {
	a.logEvent(log.InfoLevel, "refused", f.Reason, "call refused", "request", f.Ref.Request, "stage", f.Ref.Stage,
		"attempt", f.Ref.Attempt, "executed", f.Executed)
	return f
}

// logDiscard logs and counts a message that was dropped; what says which kind.
func (a *Agent) logDiscard(what string) {
	a.logEvent(log.WarnLevel, "discarded", wire.ReasonMalformed, "message dropped", "message", what)
}
