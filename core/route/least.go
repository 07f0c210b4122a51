package route

// Plain is an upstream of a service that is no model engine.
type Plain struct {
	Load    float64 // requests in flight
	Penalty float64 // extra load for recent failures and slow responses, in requests
	Slots   int     // requests that run at a time
	Factor  float64 // as in Engine
	Remote  bool    // whether it is in another data centre
}

const (
	// remoteLoadPenalty is added to the load of an upstream in another data centre, as a
	// fraction of its slots.
	remoteLoadPenalty = 0.35
	// maxSameLoad bounds sameLoad as a fraction of an upstream's slots.
	maxSameLoad = 0.2
)

// cost returns the load per slot, in requests of a usual upstream.
func (p *Plain) cost() float64 {
	slots := float64(max(p.Slots, 1))
	cost := (p.Load + p.Penalty) / slots
	if p.Factor != 0 {
		cost = p.Factor*(1+p.Load/slots) - 1 + p.Penalty/slots
	}
	if p.Remote {
		cost += remoteLoadPenalty
	}
	return cost
}

// PickLeast returns the index of the upstream with the least load per slot, or -1 if ps is
// empty. Upstreams in the router's data centre are preferred, and ties are broken at random by
// draw, which is in [0, 1). With confidence above 0, as in Demand, two upstreams whose loads
// differ by less than a request count as equal.
func PickLeast(ps []Plain, confidence, draw float64) (index int, reason Reason) {
	least := leastTwo{first: -1, second: -1}
	offset := int(draw * float64(len(ps)))
	for n := range ps {
		i := (n + offset) % len(ps)
		least.add(i, ps[i].cost())
	}
	if least.first < 0 {
		return -1, ""
	}
	slots := float64(max(ps[least.first].Slots, 1))
	// The draw chose the offset; what it leaves within the step is uniform again.
	rest := draw*float64(len(ps)) - float64(offset)
	return least.pick(confidence*min(sameLoad/slots, maxSameLoad), rest)
}

// leastTwo finds the two upstreams of the lowest cost, of equal ones the first.
type leastTwo struct {
	first, second         int // indices, -1 if there is none
	firstCost, secondCost float64
}

func (l *leastTwo) add(i int, cost float64) {
	switch {
	case l.first < 0 || cost < l.firstCost:
		l.second, l.secondCost = l.first, l.firstCost
		l.first, l.firstCost = i, cost
	case l.second < 0 || cost < l.secondCost:
		l.second, l.secondCost = i, cost
	}
}

// pick returns the first or, if the second differs by less than margin, one of both by draw.
// So many routers that know the same figures don't all choose the same upstream.
func (l *leastTwo) pick(margin, draw float64) (index int, reason Reason) {
	if l.second >= 0 && l.secondCost-l.firstCost < margin && draw < 0.5 {
		return l.second, ReasonNearLeast
	}
	return l.first, ReasonLeastLoad
}
