package fakes

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"
)

// Weights stands in for the weight store. It returns weights for any model and version, and
// answers 429 with Retry-After if its rate limit is exceeded.
type Weights struct {
	platform
}

// NewWeights returns a weight store. Start starts it.
func NewWeights(opts ...Option) *Weights {
	w := &Weights{}
	w.init(opts, w.serve)
	w.server.onFault = w.applyCommon
	return w
}

func (w *Weights) serve(_ context.Context, rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	name, ok := strings.CutPrefix(path, "/v1/weights/")
	model, version, hasVersion := strings.Cut(name, "/")
	if !rc.IsGet() || !ok || !hasVersion || model == "" || version == "" || strings.Contains(version, "/") {
		writeError(rc, fasthttp.StatusNotFound, "no such path")
		return
	}
	w.mu.Lock()
	w.countRead(path)
	w.mu.Unlock()
	rc.SetContentType("application/octet-stream")
	rc.SetBody(make([]byte, w.cfg.weightBytes))
}
