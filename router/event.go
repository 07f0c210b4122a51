package router

import (
	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/member"
	"hornbeamcove.example/core/wire"
)

// logEvent logs one line and counts one event. Each retry, discard and change of
// state goes through it, so that the log and the counters agree.
func (r *Router) logEvent(level log.Level, event string, reason wire.Reason, msg string, keyvals ...any) {
	r.Inc(event, reason)
	r.log.Log(level, msg, append(keyvals, "reason", reason)...)
}

// logVerdictChange notes a change of the verdict on an upstream.
func (l *managedLink) logVerdictChange(v member.Verdict) {
	if v.Reason == l.lastVerdict {
		return
	}
	l.r.logEvent(log.InfoLevel, "upstream_changed", wire.Reason(v.Reason), "upstream changed", "upstream", l.upstream, "pool", l.pool.id,
		"before", l.lastVerdict, "eligible", v.Eligible)
	l.lastVerdict = v.Reason
}

// logMarkChange notes a change of what is known of a fingerprint.
func (r *Router) logMarkChange(p wire.Fingerprint, team wire.TeamID, pl wire.PipelineID, before, after wire.MarkState, from string) {
	if before == after {
		return
	}
	r.logEvent(log.WarnLevel, "mark_changed", wire.Reason(after), "crash mark changed", "print", p, "team", team, "pipeline", pl,
		"before", before, "from", from)
}
