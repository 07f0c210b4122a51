package site

// Request headers that tests set when they act as callers.
const (
	HeaderID          = "Request-Id"
	HeaderDeadline    = "Request-Deadline"
	HeaderPieceCounts = "Piece-Count"
	HeaderPieceKey    = "Piece-Key"
	HeaderTeam        = "Tenant-Name"
)
