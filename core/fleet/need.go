package fleet

import (
	"cmp"
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

// PromptSegment is a contiguous part of a prompt, which several requests may share.
type PromptSegment struct {
	ID     string
	Tokens wire.Tokens
}

// RequestSpec holds the properties of a request that admission and routing use.
type RequestSpec struct {
	ID              wire.RequestID
	Remaining       time.Duration // time until the caller's deadline, 0 if it gave none
	Model           wire.ModelID
	PromptTokens    wire.Tokens
	MaxOutputTokens wire.Tokens     // upper bound on the generated tokens
	ExpectedTokens  wire.Tokens     // caller's estimate of the generated tokens, 0 if it gave none
	PromptSegments  []PromptSegment // in order; the last one is private to the request or its session
	LastEventID     int64           // id of the last event that the caller received, valid if Resumed is set
	// Resumed reports whether the request continues an interrupted stream.
	Resumed bool
	// Resumes is the id of the request that brought the first event of that stream, empty if
	// the caller doesn't name it.
	Resumes     wire.RequestID
	PieceCounts []int  // number of pieces per stage of the route
	PieceKey    string // key of the pieces, as the caller sent it
}

// PieceCount returns the number of pieces of a stage, 0 if the request gives none.
func (s *RequestSpec) PieceCount(stage int) int {
	if stage >= len(s.PieceCounts) {
		return 0
	}
	return s.PieceCounts[stage]
}

// OutputTokens returns the caller's estimate of the generated tokens, or their upper bound if it gave
// none.
func (s *RequestSpec) OutputTokens() wire.Tokens { return cmp.Or(s.ExpectedTokens, s.MaxOutputTokens) }

// LikelyTokens returns the caller's estimate of the generated tokens, at most their upper bound, and 0
// if it gave no estimate.
func (s *RequestSpec) LikelyTokens() wire.Tokens {
	if s.MaxOutputTokens > 0 {
		return min(s.ExpectedTokens, s.MaxOutputTokens)
	}
	return s.ExpectedTokens
}

// SharedSegments returns the prompt segments that other requests may share: all
// but the last.
func (s *RequestSpec) SharedSegments() []PromptSegment {
	if len(s.PromptSegments) == 0 {
		return nil
	}
	return s.PromptSegments[:len(s.PromptSegments)-1]
}

// FinalStages returns the indices of the stages whose results the request itself
// reads: those that no other stage depends on.
func FinalStages(stages []Stage) (final []int) {
	for i := range stages {
		hasDependents := slices.ContainsFunc(stages, func(s Stage) bool { return slices.Contains(s.After, i) })
		if !hasDependents {
			final = append(final, i)
		}
	}
	return final
}

// Consumers returns the number of stages that read the results of stage i, 0 if the
// request itself reads them.
func Consumers(stages []Stage, i int) (n int) {
	for _, s := range stages {
		if slices.Contains(s.After, i) {
			n++
		}
	}
	return n
}

// TransferBytes returns the bytes sent between data centres if a piece of stage i is
// made in a different data centre than the rest of the request: all inputs of the piece,
// and its result once for every piece that reads it.
func TransferBytes(stages []Stage, spec *RequestSpec, i int) (b Bytes) {
	for _, a := range stages[i].After {
		b += stages[a].ResultSize * Bytes(spec.PieceCount(a))
	}
	readingPieces := 0
	for j, s := range stages {
		if slices.Contains(s.After, i) {
			readingPieces += spec.PieceCount(j)
		}
	}
	return b + stages[i].ResultSize*Bytes(max(readingPieces, 1))
}
