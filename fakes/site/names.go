package site

// Request headers that tests set when they act as callers.
const (
	HeaderID       = "Request-Id"
	HeaderDeadline = "Request-Deadline"
	HeaderPieces   = "Piece-Count"
	HeaderPieceKey = "Piece-Key"
	HeaderTeam     = "Tenant-Name"
)
