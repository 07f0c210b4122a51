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

// Document is one entry of the answer of a retriever or reranker.
type Document struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// ServiceOutput is the answer of a service. Input is the Digest of the request body
// and ties the answer to its request.
type ServiceOutput struct {
	Input     string     `json:"input"`
	Vector    []float64  `json:"vector,omitempty"`
	Documents []Document `json:"documents,omitempty"`
	Key       string     `json:"key,omitempty"`
	Serial    int        `json:"serial,omitempty"`
}

// NewService returns a service of the given kind that is not started.
func NewService(kind wire.Kind, opts ...Option) *Service {
	s := &Service{kind: kind, slotFreed: make(chan struct{})}
	s.init(opts)
	s.server.handler = s.withCommonPaths(s.handleCall)
	s.server.onRunStart = s.reset
	s.server.onFault = s.applyCommon
	return s
}

func (s *Service) reset(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetForRun(id)
	s.notifyQueued()
}

// notifyQueued lets queued calls try for a slot; the caller holds s.mu.
func (s *Service) notifyQueued() {
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

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
	got := s.admit(ctx)
	s.mu.Unlock()
	switch got {
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
	dead := s.crashIfPoisoned(string(body))
	s.mu.Unlock()
	if dead || !clock.Sleep(ctx, delay) {
		closeConnection(rc)
		return
	}
	fate, serial, ok := s.execute(ctx, key)
	if !ok {
		closeConnection(rc)
		return
	}
	if fate == outcomeFail {
		writeError(rc, fasthttp.StatusInternalServerError, "injected failure")
		return
	}
	s.respond(ctx, rc, fate, func() {
		rc.Response.Header.Set("Busy-Micros", strconv.Itoa(int(s.cfg.busy)))
		writeJSON(rc, fasthttp.StatusOK, s.buildOutput(key, serial, body))
	})
}

// acquireSlot waits for a slot and reports whether the run still lives.
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
		room := s.slotFreed
		s.mu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			return false
		}
	}
}

// execute counts the effect of a call, or its failure, and frees its slot. It reports
// false when the run ended first.
func (s *Service) execute(ctx context.Context, key string) (f outcome, serial int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || !s.alive {
		return 0, 0, false
	}
	f = s.drawOutcome()
	s.releaseSlot(f != outcomeFail)
	s.notifyQueued()
	if f == outcomeFail {
		s.rec.Failed++
		return f, 0, true
	}
	s.rec.Finished++
	s.rec.addEffect(key)
	s.rec.addCost(key, wire.Cost{Calls: 1, Busy: s.cfg.busy})
	return f, s.rec.Finished, true
}

// Digest identifies the body of a call in the answer to it.
func Digest(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return fmt.Sprintf("%016x", h.Sum64())
}

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

// rerank orders the documents of the stage before by the digest of their text.
func rerank(body []byte) []Document {
	var in struct {
		Prior struct {
			Documents []Document `json:"documents"`
		} `json:"prior"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return nil // the stage before is not a retriever
	}
	docs := in.Prior.Documents
	slices.SortStableFunc(docs, func(a, b Document) int {
		return cmp.Compare(Digest([]byte(a.Text)), Digest([]byte(b.Text)))
	})
	return docs
}
