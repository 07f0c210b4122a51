package router

import (
	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/member"
	"hornbeamcove.example/core/wire"
)

// logEvent logs a line and increments the counter of the event. Retries, discards
// and state changes are logged through it, so that log and counters agree.
func (r *Router) logEvent(level log.Level, event string, reason wire.Reason, msg string, keyvals ...any) {
	r.Inc(event, reason)
	r.log.Log(level, msg, append(keyvals, "reason", reason)...)
}

// logVerdictChange logs v if its reason differs from that of the last verdict on
// the upstream.
func (l *managedLink) logVerdictChange(v member.Verdict) {
	if v.Reason == l.lastVerdict {
		return
	}
	l.r.logEvent(log.InfoLevel, "upstream_changed", wire.Reason(v.Reason), "upstream changed", "upstream", l.upstream, "pool", l.pool.id,
		"before", l.lastVerdict, "eligible", v.Eligible)
	l.lastVerdict = v.Reason
}

// logMarkChange logs a change of the crash mark of a request fingerprint. from is
// "own" for a call of this router and "peer" for a mark received from a peer.
func (r *Router) logMarkChange(fingerprint wire.Fingerprint, team wire.TeamID, pipeline wire.PipelineID, before, after wire.MarkState, from string) {
	if before == after {
		return
	}
	r.logEvent(log.WarnLevel, "mark_changed", wire.Reason(after), "crash mark changed", "print", fingerprint, "team", team, "pipeline", pipeline,
		"before", before, "from", from)
}
