package agent

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/wire"
)

// WithAccounts records the cost of each call that was sent to the upstream in b. A
// callback that WithResults set before it is still called.
func WithAccounts(b *acct.Book) Option {
	return func(a *Agent) {
		a.accounts = b
		previous := a.onResult
		a.onResult = func(c *wire.Call, res *wire.Result, took time.Duration) {
			if previous != nil {
				previous(c, res, took)
			}
			b.RecordStageRun(time.Now(), acct.StageRun{
				Ref: c.Ref, Team: c.Team, Pipeline: c.Pipeline, Upstream: a.cfg.Upstream, Centre: a.cfg.Centre,
				Took: took, Cost: res.Cost, Wasted: res.Wasted, Cause: res.Reason,
			})
		}
	}
}

// Routes registers the agent's administration endpoints on app: its report and the
// recorded costs.
func (a *Agent) Routes(app fiber.Router) {
	app.Get("/v1/report", func(c fiber.Ctx) error {
		return c.JSON(admin.Report{ResponseInfo: a.responseInfo(), Report: a.report()})
	})
	app.Get("/v1/accounts/costs", a.getCosts)
}

// responseInfo returns the common head of the administration answers.
func (a *Agent) responseInfo() admin.ResponseInfo {
	return admin.ResponseInfo{Process: a.cfg.Name, At: time.Now().UTC()}
}

// getCosts answers with the recorded costs that the query selects.
func (a *Agent) getCosts(c fiber.Ctx) error {
	if a.accounts == nil {
		return fiber.NewError(fiber.StatusNotFound, "this agent keeps no accounts")
	}
	sel, err := admin.ParseAccountQuery(func(name string) string { return strings.Clone(c.Query(name)) })
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.JSON(admin.NewAccounts(a.responseInfo(), a.accounts, &sel, admin.HasRuns))
}
