package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"

	"hornbeamcove.example/core/wire"
)

// configSpec describes a configuration of a given size.
type configSpec struct {
	upstreams, teams, pools int
}

// targetSpec is the configuration at the target size.
var targetSpec = configSpec{targetUpstreams, targetTeams, targetPools}

func regionName(i int) wire.RegionID { return wire.RegionID(fmt.Sprintf("region-%d", i%targetRegions)) }

func centreName(i int) wire.DataCentreID {
	return wire.DataCentreID(fmt.Sprintf("centre-%02d", i%targetCentres))
}

// centreRegion is the region of data centre i.
func centreRegion(i int) wire.RegionID { return regionName(i % targetCentres) }

func upstreamName(i int) string { return fmt.Sprintf("upstream-%05d", i) }

func poolName(i int) wire.PoolID { return wire.PoolID(fmt.Sprintf("pool-%02d", i)) }

// objects returns the configuration: data centres, models, teams with a key
// each, pipelines and upstreams, all with ticket number n.
func (r configSpec) objects(n wire.TicketNumber) (out []wire.Object) {
	add := func(o wire.Object) {
		o.Number = n
		out = append(out, o)
	}
	for i := range targetCentres {
		d := wire.CentreDistances{}
		for j := range targetCentres {
			if j != i {
				d[string(centreName(j))] = 500 * (1 + (i+j)%targetRegions)
			}
		}
		add(wire.Object{Kind: wire.ObjectKindCentre, Name: string(centreName(i)), Centre: &wire.Centre{
			Region: centreRegion(i), State: wire.CentreStateIn, Distances: d,
		}})
	}
	for i := range targetModels {
		add(wire.Object{Kind: wire.ObjectKindModel, Name: fmt.Sprintf("model-%02d", i), Model: &wire.Model{Version: 1}})
	}
	for i := range r.teams {
		name := fmt.Sprintf("team-%03d", i)
		sum := sha256.Sum256([]byte(name))
		add(teamObject(name, 1+i%5))
		add(wire.Object{Kind: wire.ObjectKindKey, Name: name + "-1", Key: &wire.Key{Team: wire.TeamID(name), Hash: wire.KeyHash(hex.EncodeToString(sum[:]))}})
	}
	for i := range targetPipelines {
		add(r.pipeline(i))
	}
	for i := range r.upstreams {
		add(r.upstream(i, upstreamAddress(i)))
	}
	return out
}

func teamObject(name string, weight int) wire.Object {
	return wire.Object{Kind: wire.ObjectKindTeam, Name: name, Team: &wire.Team{Weight: weight, Queue: 64}}
}

func (r configSpec) pipeline(i int) wire.Object {
	p := &wire.Pipeline{Deadline: 3000, Rank: wire.RankInteractive}
	for s := range 3 + i%4 {
		p.Stages = append(p.Stages, wire.Stage{Name: wire.StageID(fmt.Sprintf("stage-%d", s)), Kind: wire.KindRetrieve, Pool: poolName((i + s) % r.pools), Expect: 20})
	}
	return wire.Object{Kind: wire.ObjectKindPipeline, Name: fmt.Sprintf("pipeline-%02d", i), Pipeline: p}
}

// upstreamAddress is an address that differs for each upstream.
func upstreamAddress(i int) wire.Address {
	return wire.Address(fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255))
}

func (r configSpec) upstream(i int, addr wire.Address) wire.Object {
	name := upstreamName(i)
	u := &wire.Upstream{
		Pool: poolName(i % r.pools), Kind: wire.KindRetrieve, Centre: centreName(i / r.pools), Host: wire.HostID(name),
		Agent: addr, Limit: 16, Cold: 4, State: wire.UpstreamStateServe,
	}
	if i%r.pools < targetModels {
		u.Kind, u.Model, u.Fencing = wire.KindGenerate, wire.ModelID(fmt.Sprintf("model-%02d", i%r.pools)), true
	}
	return wire.Object{Kind: wire.ObjectKindUpstream, Name: name, Upstream: u}
}

// shuffled returns the numbers below n in a random but fixed order.
func shuffled(seed uint64, n int) []int { return rand.New(rand.NewPCG(seed, 1)).Perm(n) }
