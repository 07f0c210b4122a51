package agent

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/wire"
)

// WithAccounts keeps the cost of each call that the upstream was given in b.
func WithAccounts(b *acct.Book) Option {
	return func(a *Agent) {
		a.accounts = b
		before := a.onResult
		a.onResult = func(c *wire.Call, res *wire.Result, took time.Duration) {
			if before != nil {
				before(c, res, took)
			}
			b.RecordStageRun(time.Now(), acct.StageRun{
				Ref: c.Ref, Team: c.Team, Pipeline: c.Pipeline, Upstream: a.cfg.Upstream, Centre: a.cfg.Centre,
				Took: took, Cost: res.Cost, Wasted: res.Wasted, Cause: res.Reason,
			})
		}
	}
}

// Routes adds the administration API to the administration listener.
func (a *Agent) Routes(app fiber.Router) {
	app.Get("/v1/report", func(c fiber.Ctx) error {
		return c.JSON(admin.Report{ResponseInfo: a.head(), Report: a.report()})
	})
	app.Get("/v1/accounts/costs", a.getCosts)
}

func (a *Agent) head() admin.ResponseInfo {
	return admin.ResponseInfo{Process: a.cfg.Name, At: time.Now().UTC()}
}

func (a *Agent) getCosts(c fiber.Ctx) error {
	if a.accounts == nil {
		return fiber.NewError(fiber.StatusNotFound, "this agent keeps no accounts")
	}
	sel, err := admin.ParseAccountQuery(func(name string) string { return strings.Clone(c.Query(name)) })
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.JSON(admin.NewAccounts(a.head(), a.accounts, &sel, admin.HasRuns))
}
