package matrix

import (
	"context"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

type naive struct{ entry }

func newNaive(*world, *process) *naive { return nil }

var (
	_ = context.Background
	_ wire.Token
	_ router.Request
)
