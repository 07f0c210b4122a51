package router

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/member"
	"hornbeamcove.example/core/meter"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

// Routes adds the routes of the administration API to app.
func (r *Router) Routes(app fiber.Router) {
	app.Get("/v1/objects", r.getObjects)
	app.Get("/v1/tickets", r.getTickets)
	app.Get("/v1/upstreams", r.getUpstreams)
	app.Get("/v1/teams", r.getTeams)
	app.Get("/v1/quarantines", r.getQuarantines)
	app.Get("/v1/centres/:name", r.getCentre)
	app.Get("/v1/counts", r.getCounts)
	app.Get("/v1/accounts/refusals", r.getAccounts(admin.HasRefusals))
	app.Get("/v1/accounts/costs", r.getAccounts(admin.HasRuns))
	app.Post("/v1/check", r.postCheck)
}

// responseInfo returns the fields that all answers of the administration API begin with.
func (r *Router) responseInfo() admin.ResponseInfo {
	return admin.ResponseInfo{Process: r.cfg.Name, At: time.Now().UTC()}
}

// badRequest returns err as an error with status 400.
func badRequest(err error) error { return fiber.NewError(fiber.StatusBadRequest, err.Error()) }

// queryParams returns the query parameters of a request. Their values are valid
// until the handler returns.
func queryParams(c fiber.Ctx) admin.ParamFunc {
	return func(name string) string { return c.Query(name) }
}

var objectKinds = []wire.ObjectKind{
	wire.ObjectKindCentre, wire.ObjectKindKey, wire.ObjectKindModel,
	wire.ObjectKindPipeline, wire.ObjectKindTeam, wire.ObjectKindUpstream,
}

func (r *Router) getObjects(c fiber.Ctx) error {
	pageRange, err := admin.ParsePageRequest(queryParams(c))
	if err != nil {
		return badRequest(err)
	}
	kinds := objectKinds
	if k := c.Query("kind"); k != "" {
		i := slices.Index(kinds, wire.ObjectKind(k))
		if i < 0 {
			return badRequest(&admin.ParamError{Name: "kind", Value: k, Want: "centre, key, model, pipeline, team or upstream"})
		}
		kinds = kinds[i : i+1]
	}
	store := r.snapshot.Load().store
	found := listObjects(store, kinds, c.Query("deleted") == "true")
	prefix := c.Query("prefix")
	found = slices.DeleteFunc(found, func(o *wire.Object) bool { return !strings.HasPrefix(o.Name, prefix) })
	items, page := admin.Paginate(found, pageRange, func(o **wire.Object) string { return string((*o).Kind) + "/" + (*o).Name })
	out := admin.Objects{ResponseInfo: r.responseInfo(), Number: store.Head(), Objects: make([]admin.Object, len(items)), Page: page}
	for i, o := range items {
		out.Objects[i] = *admin.NewObject(o)
	}
	return c.JSON(out)
}

// listObjects returns the objects of some kinds, including tombstones if deleted is
// set.
func listObjects(s *ticket.Store, kinds []wire.ObjectKind, deleted bool) (out []*wire.Object) {
	for _, k := range kinds {
		out = append(out, s.List(k)...)
	}
	for i := 0; deleted && i < ticket.BucketCount; i++ {
		for _, o := range s.Bucket(i) {
			if o.Deleted && slices.Contains(kinds, o.Kind) {
				out = append(out, &o)
			}
		}
	}
	return out
}

// getTickets lists the refused tickets.
func (r *Router) getTickets(c fiber.Ctx) error {
	s := r.snapshot.Load()
	out := admin.Tickets{ResponseInfo: r.responseInfo(), Number: s.store.Head(), Tickets: append([]admin.Rejection{}, s.rejected...)}
	out.Dropped = r.Count("rejection_dropped", "")
	out.Truncated = out.Dropped > 0
	return c.JSON(out)
}

// upstreams returns this router's view of the upstreams for which match is true,
// with their current load.
func (s *snapshot) upstreams(match func(*Member) bool) (out []admin.Upstream) {
	out = []admin.Upstream{}
	for _, v := range s.members {
		m := v.toMember(s.store)
		if !match(&m) {
			continue
		}
		out = append(out, admin.Upstream{
			Upstream: m.Upstream, Pool: m.Pool, Centre: m.Centre, State: stateOf(&m), Eligible: m.Eligible, Reason: m.Reason,
			Warmth: m.Warmth, Limit: m.Limit, InFlight: m.InFlight, Queued: m.Queued, OwnInFlight: m.OwnInFlight,
		})
	}
	return out
}

// stateOf maps the reason of a verdict to a state of the administration API.
func stateOf(m *Member) string {
	switch m.Reason {
	case member.ReasonEligible:
		return string(m.Warmth)
	case member.ReasonDrain, member.ReasonGoodbye, member.ReasonListLeaving:
		return admin.StateLeaving
	case member.ReasonOut, member.ReasonAgentOut:
		return admin.StateOut
	case member.ReasonSilent:
		return admin.StateSilent
	case reasonRevalidating:
		return admin.StateRevalidating
	default:
		return admin.StateUnknown
	}
}

func upstreamKey(u *admin.Upstream) string { return string(u.Upstream) }

func (r *Router) getUpstreams(c fiber.Ctx) error {
	pageRange, err := admin.ParsePageRequest(queryParams(c))
	if err != nil {
		return badRequest(err)
	}
	s := r.snapshot.Load()
	pool, centre, state := wire.PoolID(c.Query("pool")), wire.DataCentreID(c.Query("centre")), c.Query("state")
	list := s.upstreams(func(m *Member) bool {
		return (pool == "" || m.Pool == pool) && (centre == "" || m.Centre == centre)
	})
	list = slices.DeleteFunc(list, func(u admin.Upstream) bool { return state != "" && u.State != state })
	out := admin.Upstreams{ResponseInfo: r.responseInfo(), RosterSize: len(s.store.Upstreams())}
	out.Upstreams, out.Page = admin.Paginate(list, pageRange, upstreamKey)
	return c.JSON(out)
}

func (r *Router) getTeams(c fiber.Ctx) error {
	pageRange, err := admin.ParsePageRequest(queryParams(c))
	if err != nil {
		return badRequest(err)
	}
	out := admin.Teams{ResponseInfo: r.responseInfo()}
	out.Teams, out.Page = admin.Paginate(teamViews(r.snapshot.Load()), pageRange, func(t *admin.Team) string { return string(t.Team) })
	return c.JSON(out)
}

// teamViews returns the teams with their queues in each pool. A team's share is its
// weight divided by the sum of all weights.
func teamViews(s *snapshot) []admin.Team {
	list := s.store.List(wire.ObjectKindTeam)
	out := make([]admin.Team, len(list))
	indexByTeam := make(map[wire.TeamID]int, len(list))
	totalWeight := 0
	for i, o := range list {
		out[i] = admin.Team{Team: wire.TeamID(o.Name), Number: o.Number, Weight: o.Team.Weight, Queue: o.Team.Queue, Pools: []admin.TeamPool{}}
		indexByTeam[out[i].Team] = i
		totalWeight += o.Team.Weight
	}
	for _, id := range s.poolIDs() {
		for _, v := range s.pools[id].queue.View() {
			i, ok := indexByTeam[v.Team]
			if !ok {
				continue
			}
			t := &out[i]
			t.Queued += v.Interactive + v.Batch
			t.Served += v.Served
			t.Pools = append(t.Pools, admin.NewTeamPool(id, &v))
		}
	}
	for i := range out {
		out[i].Share = float64(out[i].Weight) / float64(max(1, totalWeight))
	}
	return out
}

func (r *Router) getQuarantines(c fiber.Ctx) error {
	pageRange, err := admin.ParsePageRequest(queryParams(c))
	if err != nil {
		return badRequest(err)
	}
	marks := r.crashes.Marks(time.Now())
	if s := wire.MarkState(c.Query("state")); s != "" {
		marks = slices.DeleteFunc(marks, func(m wire.Mark) bool { return m.State != s })
	}
	out := admin.Quarantines{ResponseInfo: r.responseInfo()}
	out.Marks, out.Page = admin.Paginate(marks, pageRange, func(m *wire.Mark) string { return string(m.Print) })
	return c.JSON(out)
}

func (r *Router) getCentre(c fiber.Ctx) error {
	pageRange, err := admin.ParsePageRequest(queryParams(c))
	if err != nil {
		return badRequest(err)
	}
	s := r.snapshot.Load()
	name := strings.Clone(c.Params("name"))
	o, ok := s.store.Object(wire.ObjectKindCentre, name)
	if !ok || o.Deleted {
		return fiber.NewError(fiber.StatusNotFound, "no data centre of this name")
	}
	out := admin.Centre{
		ResponseInfo: r.responseInfo(), Centre: wire.DataCentreID(name), Region: o.Centre.Region, State: o.Centre.State, Number: o.Number,
	}
	list := s.upstreams(func(m *Member) bool { return m.Centre == out.Centre })
	for i := range list {
		if list[i].Eligible {
			out.Eligible++
		}
		out.OwnInFlight += list[i].OwnInFlight
		out.InFlight += list[i].InFlight
	}
	// Within the page, upstreams with the most calls in flight come first, since an
	// operator who drains the data centre waits for them.
	out.Upstreams, out.Page = admin.Paginate(list, pageRange, upstreamKey)
	slices.SortStableFunc(out.Upstreams, func(a, b admin.Upstream) int { return cmp.Compare(b.OwnInFlight, a.OwnInFlight) })
	return c.JSON(out)
}

func (r *Router) getCounts(c fiber.Ctx) error {
	out := admin.Counts{ResponseInfo: r.responseInfo(), Counts: r.Totals(), Totals: r.accounts.Totals()}
	out.Truncated = slices.ContainsFunc(out.Counts, func(t meter.Total) bool { return t.Name == meter.Other })
	return c.JSON(out)
}

// getAccounts returns a handler that lists the rows of the accounts for which
// include is true.
func (r *Router) getAccounts(include func(*admin.Row) bool) fiber.Handler {
	return func(c fiber.Ctx) error {
		sel, err := admin.ParseAccountQuery(queryParams(c))
		if err != nil {
			return badRequest(err)
		}
		return c.JSON(admin.NewAccounts(r.responseInfo(), r.accounts, &sel, include))
	}
}

// postCheck validates a ticket against the present configuration without applying
// it.
func (r *Router) postCheck(c fiber.Ctx) error {
	if len(c.Body()) == 0 {
		return badRequest(errors.New("want the JSON text of a ticket as the body"))
	}
	out := admin.CheckTicket(r.snapshot.Load().store, c.Body())
	out.ResponseInfo = r.responseInfo()
	return c.JSON(out)
}

// getTeamAccounts returns the accounts of the team whose key authenticates the
// request.
func (r *Router) getTeamAccounts(c fiber.Ctx) error {
	s := &activeRequest{r: r, req: &Request{}, id: r.newID()}
	var ok bool
	if s.req.Team, ok = r.authenticate(c); !ok {
		return writeRefusal(c, s.refuse(wire.ReasonUnauthorised, ""))
	}
	sel, err := admin.ParseAccountQuery(queryParams(c))
	if err != nil {
		return writeRefusal(c, s.refuse(wire.ReasonMalformed, ""))
	}
	// A query scans the whole book, so only a few run concurrently.
	select {
	case r.accountQueries <- struct{}{}:
		defer func() { <-r.accountQueries }()
	default:
		return writeRefusal(c, s.refuse(wire.ReasonBusy, ""))
	}
	sel.Filter.Team = s.req.Team
	out := admin.NewAccounts(r.responseInfo(), r.accounts, &sel, admin.AnyRow)
	out.Team = s.req.Team
	return c.JSON(out)
}
