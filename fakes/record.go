package fakes

import (
	"maps"
	"slices"

	"hornbeamcove.example/core/wire"
)

const (
	// maxRecordKeys is the number of keys that a map in a record holds. Later keys share
	// the entry overflowKey.
	maxRecordKeys = 1 << 20
	// overflowKey is the entry for all keys beyond maxRecordKeys.
	overflowKey = "overflow"
	// maxRecordedOrders is the number of orders that a record holds. Later ones are not
	// recorded.
	maxRecordedOrders = 1 << 16
)

// Record reports what an upstream stand-in executed in all runs, whether or not its
// answers arrived.
type Record struct {
	// Boots lists the boot identities of all runs, the latest last.
	Boots []wire.BootID `json:"boots"`
	// Begun counts admitted calls. Finished, Cancelled and Failed count how they ended;
	// Lost counts those that a crash ended.
	Begun     int `json:"begun"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	Lost      int `json:"lost"`
	// Refused counts calls that were not executed because the capacity was exhausted.
	Refused int `json:"refused"`
	// OverloadCrashes counts crashes of a cold upstream that received more calls than it
	// can hold. PoisonCrashes counts crashes caused by the poison text.
	OverloadCrashes int `json:"overfilled"`
	PoisonCrashes   int `json:"poisoned"`
	// PeakHeld is the highest number of running and queued calls. PeakColdHeld is the
	// highest number on arrival of a call while the upstream was cold, including a call
	// that crashed it. Calls that an upstream holds when it turns cold count only once
	// another call arrives.
	PeakHeld     int `json:"held"`
	PeakColdHeld int `json:"coldheld"`
	// Effects counts finished executions by Call-Key, whether or not the answer arrived.
	// A count above 1 shows that a call was executed more than once.
	Effects map[string]int `json:"effects"`
	// Costs is the total cost by Call-Key, including work whose answer was lost.
	Costs map[string]wire.Cost `json:"costs"`
	// Orders lists the orders that an engine received.
	Orders []Order `json:"orders"`
	// Resumed counts requests to resume a stream.
	Resumed int `json:"resumed"`
}

// Order is an order to an engine and the HTTP status of the response to it.
type Order struct {
	Model    wire.ModelID      `json:"model"`
	Version  wire.Version      `json:"version"`
	Adapters []wire.AdapterID  `json:"adapters"`
	Fence    wire.TicketNumber `json:"fence"`
	Status   int               `json:"status"`
}

// Total returns the sum of the costs of all calls.
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

// addEffect counts a finished execution of the call with the given Call-Key.
func (r *Record) addEffect(key string) {
	if _, ok := r.Effects[key]; !ok && len(r.Effects) >= maxRecordKeys {
		key = overflowKey
	}
	r.Effects[key]++
}

// addCost adds c to the costs of the call with the given Call-Key.
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
