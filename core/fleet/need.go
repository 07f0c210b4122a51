package fleet

import (
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

// PromptSegment is one shared part of a prompt.
type PromptSegment struct {
	ID     string
	Tokens wire.Tokens
}

// RequestSpec is what a request asks for, as far as decisions depend on it.
type RequestSpec struct {
	ID              wire.RequestID
	Remaining       time.Duration // the caller's deadline, 0 if it gave none
	Model           wire.ModelID
	PromptTokens    wire.Tokens
	MaxOutputTokens wire.Tokens     // the most that is generated
	PromptSegments  []PromptSegment // of the prompt, in order; the last belongs to the request or its session
	LastEventID     int64           // id of the last event that the caller has, with Resumed set
	// Resumed says that the request continues a stream.
	Resumed     bool
	PieceCounts []int  // of each stage of the route
	PieceKey    string // of the request's pieces
}

// PieceCount returns the number of pieces of a stage.
func (n *RequestSpec) PieceCount(stage int) int {
	if stage >= len(n.PieceCounts) {
		return 0
	}
	return n.PieceCounts[stage]
}

// SharedSegments returns the parts of the prompt that other requests may share.
func (n *RequestSpec) SharedSegments() []PromptSegment {
	if len(n.PromptSegments) == 0 {
		return nil
	}
	return n.PromptSegments[:len(n.PromptSegments)-1]
}

// FinalStages returns the indices of the stages whose results the request itself reads:
// those that no other stage follows.
func FinalStages(stages []Stage) (out []int) {
	for i := range stages {
		followed := slices.ContainsFunc(stages, func(s Stage) bool { return slices.Contains(s.After, i) })
		if !followed {
			out = append(out, i)
		}
	}
	return out
}

// LastConsumer returns the last stage that reads the results of stage i, or -1 if the
// request itself reads them.
func LastConsumer(stages []Stage, i int) int {
	last := -1
	for j, s := range stages {
		if slices.Contains(s.After, i) {
			last = j
		}
	}
	return last
}

// TransferBytes returns the bytes that a piece of stage i moves between data centres if it
// is made in another one than the rest of the request: its inputs come there, and
// its result goes to every piece that reads it.
func TransferBytes(stages []Stage, n *RequestSpec, i int) (b Bytes) {
	for _, a := range stages[i].After {
		b += stages[a].ResultSize * Bytes(n.PieceCount(a))
	}
	readers := 0
	for j, s := range stages {
		if slices.Contains(s.After, i) {
			readers += n.PieceCount(j)
		}
	}
	return b + stages[i].ResultSize*Bytes(max(readers, 1))
}
