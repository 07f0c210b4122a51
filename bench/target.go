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

	secondsPerDay     = 86_400.0               // seconds
	targetTicketRate  = 21_000 / secondsPerDay // a second
	targetRestartRate = 4_500 / secondsPerDay  // hosts a second
	targetFailureRate = 130 / secondsPerDay    // hosts a second
	targetRequestRate = 14_000.0               // requests a second
	targetTokenRate   = 5.1e6                  // tokens a second
	maxControlCPU     = 0.031                  // of a core, control in each daemon
	maxMemory         = 64.0                   // MB a daemon
	maxByteRate       = 3_000.0                // bytes a second a daemon, control
	maxReadRate       = 2_000.0                // platform reads a second
	maxInForceTime    = 4.0                    // seconds until a ticket is in force
	routerRequestRate = targetRequestRate / targetRouters
	routerTokenRate   = targetTokenRate / targetRouters
	agentStageRate    = targetRequestRate * stagesPerRequest / targetUpstreams
	stagesPerRequest  = 4.5 // a request, mean of 3 to 6
)
