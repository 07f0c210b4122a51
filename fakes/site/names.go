package site

// Headers that tests use. All but HeaderLimit, HeaderLoad, HeaderLeaving and HeaderEra are request headers that they
// set when they act as callers.
const (
	// HeaderLimit is a header of answers: the requests per second that a replica takes from
	// all callers together.
	HeaderLimit = "Server-Limit"
	// HeaderLoad is a header of answers: running requests, waiting ones, slots and the pace.
	HeaderLoad = "Server-Load"
	// HealthPath is the path of a replica's health check.
	HealthPath = "/health"
	// HeaderLeaving is 1 in all answers of a replica that leaves.
	HeaderLeaving = "Server-Leaving"
	// HeaderEra is in all answers of the store: how often it was restored from a copy, from 1.
	HeaderEra = "Store-Era"

	HeaderID          = "Request-Id"
	HeaderDeadline    = "Request-Deadline"
	HeaderLastEvent   = "Last-Event-Id" // number of the last event of a stream that is taken up
	HeaderResumes     = "Resumes"       // id of the request that brought the first event of that stream
	HeaderPieceCounts = "Piece-Count"   // numbers of pieces of each stage, separated by commas
	HeaderPieceKey    = "Piece-Key"
	HeaderLengthHint  = "Length-Hint" // expected number of tokens
	HeaderTeam        = "Tenant-Name"
	HeaderParts       = "Prompt-Prefix" // id:tokens of each part of the prompt
)
