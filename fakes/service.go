package fakes

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/wire"
)

// Service stands in for an encoder, retriever, reranker or plain service.
type Service struct {
	upstream
	kind      wire.Kind
	slotFreed chan struct{} // closed and replaced when a slot becomes free
}

// Document is one document in the response of a retriever or reranker.
type Document struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// ServiceOutput is the body of a service's response. Input is the Digest of the request
// body, which lets a caller check that the response belongs to its request. Serial is the
// number of calls that the service has finished in all runs.
type ServiceOutput struct {
	Input     string     `json:"input"`
	Vector    []float64  `json:"vector,omitempty"`
	Documents []Document `json:"documents,omitempty"`
	Key       string     `json:"key,omitempty"`
	Serial    int        `json:"serial,omitempty"`
}

// NewService returns a service of the given kind. Start starts it.
func NewService(kind wire.Kind, opts ...Option) *Service {
	s := &Service{kind: kind, slotFreed: make(chan struct{})}
	s.init(opts)
	s.server.handler = s.withCommonPaths(s.handleCall)
	s.server.onRunStart = s.reset
	s.server.onFault = s.applyCommon
	return s
}

// reset prepares the service for a run and wakes calls of the previous run that still wait
// for a slot, so that they end.
func (s *Service) reset(boot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetForRun(boot)
	s.notifyQueued()
}

// notifyQueued makes queued calls try to get a slot; the caller holds s.mu.
func (s *Service) notifyQueued() {
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

// handleCall handles POST /call.
func (s *Service) handleCall(ctx context.Context, rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != "/call" || !rc.IsPost() {
		writeError(rc, fasthttp.StatusNotFound, "no such path")
		return
	}
	key := string(rc.Request.Header.Peek("Call-Key"))
	if key == "" || !json.Valid(rc.PostBody()) {
		writeError(rc, fasthttp.StatusBadRequest, "a call needs the header Call-Key and a JSON body")
		return
	}
	body := slices.Clone(rc.PostBody())
	s.mu.Lock()
	admitResult := s.admit(ctx)
	s.mu.Unlock()
	switch admitResult {
	case crashed:
		closeConnection(rc)
		return
	case refused:
		writeError(rc, fasthttp.StatusServiceUnavailable, "over capacity")
		return
	}
	if !s.acquireSlot(ctx) {
		closeConnection(rc)
		return
	}
	s.mu.Lock()
	delay := s.faults.delay
	poisoned := s.crashIfPoisoned(string(body))
	s.mu.Unlock()
	if poisoned || !clock.Sleep(ctx, delay) {
		closeConnection(rc)
		return
	}
	callOutcome, serial, ok := s.execute(ctx, key)
	if !ok {
		closeConnection(rc)
		return
	}
	if callOutcome == outcomeFail {
		writeError(rc, fasthttp.StatusInternalServerError, "injected failure")
		return
	}
	s.respond(ctx, rc, callOutcome, func() {
		rc.Response.Header.Set("Busy-Micros", strconv.Itoa(int(s.cfg.busy)))
		writeJSON(rc, fasthttp.StatusOK, s.buildOutput(key, serial, body))
	})
}

// acquireSlot waits for a free slot. It returns false if the run ends first.
func (s *Service) acquireSlot(ctx context.Context) bool {
	for {
		s.mu.Lock()
		if ctx.Err() != nil || !s.alive {
			s.mu.Unlock()
			return false
		}
		if int(s.load.Flight) < s.slots() {
			s.startQueued()
			s.mu.Unlock()
			return true
		}
		slotFreed := s.slotFreed
		s.mu.Unlock()
		select {
		case <-slotFreed:
		case <-ctx.Done():
			return false
		}
	}
}

// execute draws the outcome of a call, records its effect and cost or its failure, and
// frees its slot. It returns false if the run has ended.
func (s *Service) execute(ctx context.Context, key string) (callOutcome outcome, serial int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || !s.alive {
		return 0, 0, false
	}
	callOutcome = s.drawOutcome()
	s.releaseSlot(callOutcome != outcomeFail)
	s.notifyQueued()
	if callOutcome == outcomeFail {
		s.rec.Failed++
		return callOutcome, 0, true
	}
	s.rec.Finished++
	s.rec.addEffect(key)
	s.rec.addCost(key, wire.Cost{Calls: 1, Busy: s.cfg.busy})
	return callOutcome, s.rec.Finished, true
}

// Digest returns the hash of the body of a call that ServiceOutput carries as Input.
func Digest(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// buildOutput returns the output that a service of this kind computes from a request body.
func (s *Service) buildOutput(key string, serial int, body []byte) ServiceOutput {
	out := ServiceOutput{Input: Digest(body)}
	switch s.kind {
	case wire.KindEncode:
		for i := range 8 {
			out.Vector = append(out.Vector, float64(out.Input[i])/128)
		}
	case wire.KindRetrieve:
		for i := range 5 {
			id := fmt.Sprintf("%s-%d", out.Input[:8], i)
			out.Documents = append(out.Documents, Document{id, "document " + id, 1 / float64(i+1)})
		}
	case wire.KindRerank:
		out.Documents = rerank(body)
	default:
		out.Key, out.Serial = key, serial
	}
	return out
}

// rerank returns the documents of the previous stage sorted by the digest of their text.
func rerank(body []byte) []Document {
	var request struct {
		Prior struct {
			Documents []Document `json:"documents"`
		} `json:"prior"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil // the previous stage is not a retriever
	}
	docs := request.Prior.Documents
	slices.SortStableFunc(docs, func(a, b Document) int {
		return cmp.Compare(Digest([]byte(a.Text)), Digest([]byte(b.Text)))
	})
	return docs
}
