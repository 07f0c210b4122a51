package site

// Headers that tests use. All but HeaderLimit are request headers that they set when they
// act as callers.
const (
	// HeaderLimit is a header of answers: the requests per second that a replica takes from
	// all callers together.
	HeaderLimit = "Server-Limit"

	HeaderID          = "Request-Id"
	HeaderDeadline    = "Request-Deadline"
	HeaderPieceCounts = "Piece-Count" // numbers of pieces of each stage, separated by commas
	HeaderPieceKey    = "Piece-Key"
	HeaderTeam        = "Tenant-Name"
	HeaderParts       = "Prompt-Prefix" // id:tokens of each part of the prompt
)
