package fleet

import (
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

// Part is one shared part of a prompt.
type Part struct {
	ID   string
	Size wire.Tokens
}

// Need is what a request asks for, as far as decisions depend on it.
type Need struct {
	ID     wire.RequestID
	Left   time.Duration // the caller's deadline, 0 if it gave none
	Model  wire.ModelID
	Prompt wire.Tokens
	Output wire.Tokens // the most that is generated
	Parts  []Part      // of the prompt, in order; the last belongs to the request or its session
	Last   int64       // id of the last event that the caller has, with Resumed set
	// Resumed says that the request continues a stream.
	Resumed bool
	Pieces  []int  // of each stage of the route
	Key     string // of the request's pieces
}

// PieceCount returns the number of pieces of a stage.
func (n *Need) PieceCount(stage int) int {
	if stage >= len(n.Pieces) {
		return 0
	}
	return n.Pieces[stage]
}

// Shared returns the parts of the prompt that other requests may share.
func (n *Need) Shared() []Part {
	if len(n.Parts) == 0 {
		return nil
	}
	return n.Parts[:len(n.Parts)-1]
}

// Final returns the indices of the stages whose results the request itself reads:
// those that no other stage follows.
func Final(stages []Stage) (out []int) {
	for i := range stages {
		followed := slices.ContainsFunc(stages, func(s Stage) bool { return slices.Contains(s.After, i) })
		if !followed {
			out = append(out, i)
		}
	}
	return out
}

// Use returns the last stage that reads the results of stage i, or -1 if the
// request itself reads them.
func Use(stages []Stage, i int) int {
	last := -1
	for j, s := range stages {
		if slices.Contains(s.After, i) {
			last = j
		}
	}
	return last
}

// Moved returns the bytes that a piece of stage i moves between data centres if it
// is made in another one than the rest of the request: its inputs come there, and
// its result goes to every piece that reads it.
func Moved(stages []Stage, n *Need, i int) (b Bytes) {
	for _, a := range stages[i].After {
		b += stages[a].Size * Bytes(n.PieceCount(a))
	}
	readers := 0
	for j, s := range stages {
		if slices.Contains(s.After, i) {
			readers += n.PieceCount(j)
		}
	}
	return b + stages[i].Size*Bytes(max(readers, 1))
}
