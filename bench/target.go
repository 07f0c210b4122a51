package bench

// Target size and limits, from the section "Target scale" of docs/design.md.
const (
	targetRouters   = 370
	targetUpstreams = 11_000
	targetTeams     = 800
	targetPipelines = 14
	targetModels    = 12
	targetRegions   = 4
	targetCentres   = 13
	targetPools     = 20 // one per model, and 8 of encoders, retrievers, rerankers and plain services

	secondsPerDay     = 86_400.0
	targetTicketRate  = 21_000 / secondsPerDay // tickets per second
	targetRestartRate = 4_500 / secondsPerDay  // host restarts per second
	targetFailureRate = 130 / secondsPerDay    // host failures per second
	targetRequestRate = 14_000.0               // requests per second
	targetTokenRate   = 5.1e6                  // tokens per second
	maxControlCPU     = 0.031                  // cores per daemon, control work only
	maxMemory         = 64.0                   // MB per daemon
	maxByteRate       = 3_000.0                // bytes per second and daemon, control messages only
	maxReadRate       = 2_000.0                // reads per second from the platform by all routers
	maxInForceTime    = 4.0                    // seconds until a ticket is in force
	routerRequestRate = targetRequestRate / targetRouters
	routerTokenRate   = targetTokenRate / targetRouters
	agentStageRate    = targetRequestRate * stagesPerRequest / targetUpstreams
	stagesPerRequest  = 4.5 // mean of 3 to 6
)
