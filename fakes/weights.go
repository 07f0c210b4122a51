package fakes

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"
)

// Weights stands in for the weight store. Any model and version exists; over its rate it
// answers 429 with Retry-After.
type Weights struct {
	platform
}

// NewWeights returns a weight store that is not started.
func NewWeights(opts ...Option) *Weights {
	w := &Weights{}
	w.init(opts, w.serve)
	w.server.onFault = w.applyCommon
	return w
}

func (w *Weights) serve(_ context.Context, rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	name, ok := strings.CutPrefix(path, "/v1/weights/")
	model, version, two := strings.Cut(name, "/")
	if !rc.IsGet() || !ok || !two || model == "" || version == "" || strings.Contains(version, "/") {
		writeError(rc, fasthttp.StatusNotFound, "no such path")
		return
	}
	w.mu.Lock()
	w.countRead(path)
	w.mu.Unlock()
	rc.SetContentType("application/octet-stream")
	rc.SetBody(make([]byte, w.cfg.weightBytes))
}
