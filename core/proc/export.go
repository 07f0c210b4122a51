package proc

import (
	"bytes"

	"github.com/charmbracelet/log"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
)

// Metrics is a root metrics scope with its Prometheus exposition, for programs
// that don't run a Process.
type Metrics struct{ m *metrics }

// NewMetrics returns empty metrics. The caller must call Close.
func NewMetrics(l *log.Logger) Metrics { return Metrics{newMetrics(l)} }

// Scope returns the root scope.
func (m Metrics) Scope() tally.Scope { return m.m.scope }

// Text returns the metrics in Prometheus' text format.
func (m Metrics) Text() ([]byte, error) { return m.m.text() }

// Close reports the last values of the scope and stops the reporting.
func (m Metrics) Close() error { return m.m.close() }

// textFormat is the plain text exposition format of Prometheus.
var textFormat = expfmt.NewFormat(expfmt.TypeTextPlain)

// text returns the metrics in textFormat.
func (m *metrics) text() ([]byte, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	enc := expfmt.NewEncoder(&b, textFormat)
	for _, f := range families {
		if err = enc.Encode(f); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}
