package proc

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger that writes JSON lines with UTC times to out, or to
// standard error when out is nil. The fields are added to each line.
func NewLogger(out io.Writer, level string, fields ...any) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("level %q: want debug, info, warn or error", level)
	}
	if out == nil {
		out = os.Stderr
	}
	return log.NewWithOptions(out, log.Options{
		Level:           l,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFunction:    func(t time.Time) time.Time { return t.UTC() },
		TimeFormat:      time.RFC3339Nano,
		Fields:          fields,
	}), nil
}
