package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestCentresRestored guards against a data centre that is used again, or left out again,
// because a restored store has forgotten what the operator wrote last.
func TestCentresRestored(t *testing.T) {
	now := time.Unix(1000, 0)
	type list = map[wire.DataCentreID]Revision
	for _, tc := range []struct {
		name          string
		out           []wire.DataCentreID // before the restore, read up to revision 30
		listed        list
		write         func(c *Centres)
		during, after bool // whether b is out in the grace period and after it
	}{
		{"taken out since the copy", []wire.DataCentreID{"b"}, list{}, nil, true, false},
		{"taken out, written again", []wire.DataCentreID{"b"}, list{}, func(c *Centres) { c.Set("b", true) }, true, true},
		{"taken back since the copy", nil, list{"b": 20}, nil, false, true},
		{"taken back, written again", nil, list{"b": 20}, func(c *Centres) { c.Set("b", false) }, false, false},
		{"taken out after what was read", nil, list{"b": 31}, nil, true, true},
		{"unchanged", []wire.DataCentreID{"b"}, list{"b": 20}, nil, true, true},
		{"taken back after the restore", []wire.DataCentreID{"b"}, list{"b": 20}, func(c *Centres) { c.Set("b", false) }, false, false},
		{"restored twice", []wire.DataCentreID{"b"}, list{}, func(c *Centres) { c.Restored(now, list{}, 30) }, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := NewCentres()
			for _, id := range tc.out {
				c.Set(id, true)
			}
			c.Restored(now, tc.listed, 30)
			if tc.write != nil {
				tc.write(c)
			}
			assert.Equal(t, c.Out(now.Add(LapseGrace - 1))["b"], tc.during)
			assert.Equal(t, c.Out(now.Add(LapseGrace))["b"], tc.after)
		})
	}
}
