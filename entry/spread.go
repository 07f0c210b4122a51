package entry

import (
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
)

// setWeights weights each engine by the share of the stage capacity in its data centre,
// divided by the number of usable engines there, so that a data centre gets the share of
// the prompts for which its upstreams can make the stage results.
func (x *exchange) setWeights(es []route.Engine, usable []*target) {
	if len(x.route.Stages) == 0 {
		return
	}
	engines := map[wire.DataCentreID]int{}
	for _, t := range usable {
		engines[t.Centre]++
	}
	shares := x.stageShares()
	for i, t := range usable {
		es[i].Weight = max(shares[t.Centre], minStageShare) / float64(engines[t.Centre])
	}
}

// minStageShare is the share of the stage capacity that is assumed for a data centre in
// which some stage has no upstream.
const minStageShare = 0.02

// stageShares returns for each data centre its fraction of a stage's upstreams, taken for
// the stage of the route for which the fraction is smallest. Data centres that lack an
// upstream of some stage are left out.
func (x *exchange) stageShares() map[wire.DataCentreID]float64 {
	shares := map[wire.DataCentreID]float64{}
	for i, st := range x.route.Stages {
		fractions := map[wire.DataCentreID]float64{}
		ups := x.view.Upstreams[st.Service]
		for _, u := range ups {
			fractions[u.Centre] += 1 / float64(len(ups))
		}
		for c, fraction := range fractions {
			if old, ok := shares[c]; i == 0 {
				shares[c] = fraction
			} else if ok {
				shares[c] = min(old, fraction)
			}
		}
		for c := range shares {
			if fractions[c] == 0 {
				delete(shares, c)
			}
		}
	}
	return shares
}
