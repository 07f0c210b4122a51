package site

// Request headers that tests set when they act as callers.
const (
	HeaderID          = "Request-Id"
	HeaderDeadline    = "Request-Deadline"
	HeaderPieceCounts = "Piece-Count" // numbers of pieces of each stage, separated by commas
	HeaderPieceKey    = "Piece-Key"
	HeaderTeam        = "Tenant-Name"
	HeaderParts       = "Prompt-Prefix" // id:tokens of each part of the prompt
)
