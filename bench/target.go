package bench

// The target size, from the section "Target scale" of docs/design.md.
const (
	targetRouters   = 370
	targetUpstreams = 11_000
	targetTeams     = 800
	targetPipelines = 14
	targetModels    = 12
	targetRegions   = 4
	targetCentres   = 13
	targetPools     = 20 // one a model, and 8 of encoders, retrievers, rerankers and plain services

	day           = 86_400.0     // seconds
	targetTickets = 21_000 / day // a second
	targetRestart = 4_500 / day  // hosts a second
	targetFail    = 130 / day    // hosts a second
	targetRate    = 14_000.0     // requests a second
	targetTokens  = 5.1e6        // tokens a second
	maxCPU        = 0.031        // of a core, control in each daemon
	maxMemory     = 64.0         // MB a daemon
	maxBytes      = 3_000.0      // bytes a second a daemon, control
	maxReads      = 2_000.0      // platform reads a second
	maxForce      = 4.0          // seconds until a ticket is in force
	routerRate    = targetRate / targetRouters
	routerTokens  = targetTokens / targetRouters
	agentRate     = targetRate * stages / targetUpstreams
	stages        = 4.5 // a request, mean of 3 to 6
)
