package fakes

import (
	"maps"
	"slices"

	"hornbeamcove.example/core/wire"
)

const (
	// maxRecordKeys bounds the rows of a record by Call-Key; later keys share one row.
	maxRecordKeys = 1 << 20
	// overflowKey is the row of the keys beyond maxRecordKeys.
	overflowKey = "overflow"
	// maxRecordedOrders bounds the recorded orders; later ones are only counted.
	maxRecordedOrders = 1 << 16
)

// Record is what an upstream stand-in really did. It covers all runs.
type Record struct {
	// Boots lists the identities of the runs, the current one last.
	Boots []wire.BootID `json:"boots"`
	// Begun counts calls that were given work; Finished, Cancelled and Failed say how
	// they ended. Calls that a crash ended count in Lost.
	Begun     int `json:"begun"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	Lost      int `json:"lost"`
	// Refused counts calls beyond the capacity, which were not executed.
	Refused int `json:"refused"`
	// OverloadCrashes counts crashes of a cold upstream that was given too much work;
	// Poisoned counts crashes by a poison text.
	OverloadCrashes int `json:"overfilled"`
	PoisonCrashes   int `json:"poisoned"`
	// PeakHeld is the most work held at once, and PeakColdHeld the most held when a call
	// arrived in a cold start.
	PeakHeld     int `json:"held"`
	PeakColdHeld int `json:"coldheld"`
	// Effects counts finished executions by Call-Key, whether or not the answer arrived.
	Effects map[string]int `json:"effects"`
	// Costs sums what was used by Call-Key, including work whose answer was lost.
	Costs map[string]wire.Cost `json:"costs"`
	// Orders lists the orders that an engine received.
	Orders []Order `json:"orders"`
	// Resumed counts streams that were read again.
	Resumed int `json:"resumed"`
}

// Order is one order to an engine and the status that it was answered with.
type Order struct {
	Model    wire.ModelID      `json:"model"`
	Version  wire.Version      `json:"version"`
	Adapters []wire.AdapterID  `json:"adapters"`
	Fence    wire.TicketNumber `json:"fence"`
	Status   int               `json:"status"`
}

// Total returns the sum of all costs.
func (r Record) Total() wire.Cost {
	var sum wire.Cost
	for _, c := range r.Costs {
		sum = sumCosts(sum, c)
	}
	return sum
}

func (r Record) clone() Record {
	r.Boots = slices.Clone(r.Boots)
	r.Effects = maps.Clone(r.Effects)
	r.Costs = maps.Clone(r.Costs)
	r.Orders = slices.Clone(r.Orders)
	return r
}

func (r *Record) addEffect(key string) {
	if _, ok := r.Effects[key]; !ok && len(r.Effects) >= maxRecordKeys {
		key = overflowKey
	}
	r.Effects[key]++
}

func (r *Record) addCost(key string, c wire.Cost) {
	if _, ok := r.Costs[key]; !ok && len(r.Costs) >= maxRecordKeys {
		key = overflowKey
	}
	r.Costs[key] = sumCosts(r.Costs[key], c)
}

func (r *Record) addOrder(o Order) {
	if len(r.Orders) < maxRecordedOrders {
		r.Orders = append(r.Orders, o)
	}
}

func sumCosts(a, b wire.Cost) wire.Cost {
	return wire.Cost{
		Input:  a.Input + b.Input,
		Cached: a.Cached + b.Cached,
		Output: a.Output + b.Output,
		Calls:  a.Calls + b.Calls,
		Busy:   a.Busy + b.Busy,
	}
}
