package admin

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

// TestPaginate guards against entries that are repeated or left out by pagination.
func TestPaginate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z/ .%-]{1,4}`), 0, 30, rapid.ID).Draw(t, "all")
		r := PageRequest{Limit: rapid.IntRange(1, 7).Draw(t, "limit")}
		seen := map[string]bool{}
		for {
			part, p := Paginate(all, r, func(s *string) string { return *s })
			assert.Assert(t, len(part) <= r.Limit && p.Total == len(all))
			for _, s := range part {
				assert.Assert(t, !seen[s])
				seen[s] = true
			}
			if !p.Truncated {
				break
			}
			r.After = p.Next
		}
		assert.Equal(t, len(seen), len(all))
	})
}

// TestSum guards against rows that are counted twice or not at all when they are
// grouped by fewer fields.
func TestSum(t *testing.T) {
	rows := []Row{
		{Dimensions: Dimensions{Team: "a", Reason: "queue"}, Refused: Refused{None: 1}},
		{Dimensions: Dimensions{Team: "b", Reason: "queue"}, Refused: Refused{None: 2, Some: 1}},
		{Dimensions: Dimensions{Team: "a"}, Useful: Usage{Runs: 3, Cost: wire.Cost{Busy: 5}}},
		{Dimensions: Dimensions{Team: "a", Reason: "crashed"}, Wasted: Usage{Runs: 1, Cost: wire.Cost{Busy: 2}}},
	}
	for by, want := range map[string][]Row{
		"team": {
			{Dimensions: Dimensions{Team: "a"}, Refused: Refused{None: 1}, Useful: rows[2].Useful, Wasted: rows[3].Wasted},
			{Dimensions: Dimensions{Team: "b"}, Refused: Refused{None: 2, Some: 1}},
		},
		"reason": {
			{Dimensions: Dimensions{Reason: "queue"}, Refused: Refused{None: 3, Some: 1}},
			{Useful: rows[2].Useful},
			{Dimensions: Dimensions{Reason: "crashed"}, Wasted: rows[3].Wasted},
		},
		"": rows,
	} {
		groupBy, err := ParseGroupBy(by)
		assert.NilError(t, err)
		assert.DeepEqual(t, Sum(rows, groupBy), want)
	}
	_, err := ParseGroupBy("colour")
	assert.ErrorContains(t, err, "want some of minute")
}

// TestCheckTicket guards against a check that reports only the first fault,
// shows a hash, or promises an effect that an older ticket would not have.
func TestCheckTicket(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	ticketOf := func(n int, objs ...string) []byte {
		return fmt.Appendf(nil, `{"number":%d,"objects":[%s]}`, n, strings.Join(objs, ","))
	}
	team := func(name string, weight int) string {
		return fmt.Sprintf(`{"kind":"team","name":%q,"team":{"weight":%d}}`, name, weight)
	}
	key := func(hash string) string {
		return fmt.Sprintf(`{"kind":"key","name":"k","key":{"team":"a","hash":%q}}`, hash)
	}
	first, err := ticket.Parse(ticketOf(5, team("a", 1), team("b", 1), key(hash)))
	assert.NilError(t, err)
	s, _, err := new(ticket.Store).Apply(first)
	assert.NilError(t, err)

	t.Run("changes", func(t *testing.T) {
		c := CheckTicket(s, ticketOf(6, team("a", 2), team("b", 1), team("c", 1), key(strings.Repeat("cd", 32))))
		assert.Assert(t, c.Valid && len(c.Faults) == 0)
		got := ""
		for _, change := range c.Changes {
			got += fmt.Sprint(change.Action, " ", change.Name, change.Fields, ";")
		}
		assert.Equal(t, got, "change a[weight];renumber b[];add c[queue weight];change k[hash];")
	})
	t.Run("skipped", func(t *testing.T) {
		c := CheckTicket(s, ticketOf(4, team("a", 2)))
		assert.Assert(t, c.Valid && len(c.Changes) == 0)
		assert.DeepEqual(t, c.Skipped, []SkippedObject{{"team", "a", 5}})
	})
	t.Run("faults", func(t *testing.T) {
		c := CheckTicket(s, ticketOf(6, team("a", 0), team("b", 1), team("Bad", 1), key("CLEAR-"+hash)))
		var fields []string
		for _, f := range c.Faults {
			fields = append(fields, f.Field)
			assert.Assert(t, !strings.Contains(f.Problem, "CLEAR") && f.Number == 6, f.Problem)
		}
		assert.DeepEqual(t, fields, []string{"objects.0.team.weight", "objects.2.name", "objects.3.key.hash"})
	})
	t.Run("pending", func(t *testing.T) {
		c := CheckTicket(s, ticketOf(6, `{"kind":"team","name":"a","deleted":true}`))
		assert.Assert(t, !c.Valid && len(c.Faults) == 1 && c.Faults[0].Pending)
	})
	for _, text := range []string{"", "{", "[]", `{"number":1}`, `{"objects":[{}]}`} {
		assert.Assert(t, !CheckTicket(s, []byte(text)).Valid, text)
	}
}
