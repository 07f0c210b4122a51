package local

import (
	"time"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

// Names of the teams, pipelines and the model in ExampleSpec.
const (
	TeamFolders    wire.TeamID     = "folders"
	TeamInstallers wire.TeamID     = "installers"
	FoldPlan       wire.PipelineID = "fold-plan"
	Wiring         wire.PipelineID = "wiring-review"
	KitOrder       wire.PipelineID = "kit-reservation"
	Model          wire.ModelID    = "assistant"
)

// ExampleSpec returns a small fleet like those in production, in three data centres:
// shared engines, retrieval pools and a plain service with non-repeatable calls. tokenTime
// is the time that an engine takes per token, and the delay of the other services.
func ExampleSpec(tokenTime time.Duration) Spec {
	serviceOpts := []fakes.Option{fakes.WithSlots(16, 16), fakes.WithDelay(tokenTime), fakes.WithBusy(500)}
	engineOpts := []fakes.Option{
		fakes.WithSlots(8, 8), fakes.WithColdStart(2, 4), fakes.WithTokenTime(tokenTime, 0),
		fakes.WithModel(Model, 1), fakes.WithCacheBlocks(256),
	}
	return Spec{
		Centres: []Centre{
			{"palermo", "sicily", map[string]int{"catania": 500, "messina": 500}},
			{"catania", "sicily", map[string]int{"palermo": 500, "messina": 500}},
			{"messina", "sicily", map[string]int{"palermo": 500, "catania": 500}},
		},
		Pools: []Pool{
			{Name: "encoders", Kind: wire.KindEncode, PerCentre: 1, Limit: 16, Cold: 4, Opts: serviceOpts},
			{Name: "archive", Kind: wire.KindRetrieve, PerCentre: 2, Limit: 16, Cold: 4, Opts: serviceOpts},
			{Name: "rerankers", Kind: wire.KindRerank, PerCentre: 1, Limit: 16, Cold: 4, Opts: serviceOpts},
			{Name: "assistants", Kind: wire.KindGenerate, PerCentre: 4, Limit: 8, Cold: 2, Model: Model, Opts: engineOpts},
			{Name: "kits", Kind: wire.KindPlain, PerCentre: 1, Limit: 16, Cold: 4, Opts: serviceOpts},
		},
		Teams: []Team{
			{TeamFolders, 3, "folders-key"},
			{TeamInstallers, 2, "installers-key"},
		},
		Models: map[wire.ModelID]wire.Model{Model: {Version: 1}},
		Pipelines: map[wire.PipelineID]wire.Pipeline{
			FoldPlan: answerPipeline(wire.RankInteractive),
			Wiring:   answerPipeline(wire.RankInteractive),
			KitOrder: {
				Deadline: 3000, Rank: wire.RankInteractive, Teams: []wire.TeamID{TeamFolders, TeamInstallers},
				Stages: []wire.Stage{{Name: "reserve", Kind: wire.KindPlain, Pool: "kits", Once: true, Expect: 20}},
			},
		},
		Routers: 2,
	}
}

// answerPipeline returns a pipeline that retrieves documents and generates an answer.
func answerPipeline(rank wire.Rank) wire.Pipeline {
	return wire.Pipeline{
		Deadline: 3000, Rank: rank, Teams: []wire.TeamID{TeamFolders, TeamInstallers},
		Stages: []wire.Stage{
			{Name: "encode", Kind: wire.KindEncode, Pool: "encoders", Expect: 20},
			{Name: "retrieve", Kind: wire.KindRetrieve, Pool: "archive", Expect: 20},
			{Name: "rerank", Kind: wire.KindRerank, Pool: "rerankers", Expect: 20},
			{Name: "generate", Kind: wire.KindGenerate, Pool: "assistants", Model: Model, Expect: 300},
		},
	}
}
