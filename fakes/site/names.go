package site

// Names of headers, for callers that tests play.
const (
	HeaderID       = "Request-Id"
	HeaderDeadline = "Request-Deadline"
	HeaderPieces   = "Piece-Count"
	HeaderPieceKey = "Piece-Key"
	HeaderTeam     = "Tenant-Name"
)
