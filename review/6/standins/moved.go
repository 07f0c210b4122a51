package main

import (
	"fmt"
	"time"
)

const (
	movedFrom   = 8 * time.Second        // from the start of traffic: the new configuration
	leavesAfter = 200 * time.Millisecond // later a replica of the former stage service reports draining
	drainLimit  = 2 * time.Second        // drain_ms
	lingers     = 8 * time.Second        // from then until the replica exits
)

// movedDeployment is deployment, with the stage of the route at another service, which takes the place
// of the former one.
func movedDeployment() map[string]any {
	c := deployment()
	c["version"] = 9
	route := c["routes"].([]any)[0].(map[string]any)
	route["stages"].([]any)[0].(map[string]any)["service"] = "catalogo"
	c["services"].([]any)[2].(map[string]any)["name"] = "catalogo"
	return c
}

// playMoved moves a route to another stage service while requests wait for the former one, and takes a
// replica of that away. It looks for pieces that reach the replica after drain_ms.
func playMoved(w *world) int {
	if err := w.addReplicas(5); err != nil {
		w.rec.note("%v", err)
		return notRun
	}
	for i := range 5 {
		if err := w.add(&replica{id: fmt.Sprintf("i-catalogo-%d", i), service: "catalogo", zone: zones[i%len(zones)], slots: 1, queue: 2, handler: serveStage}); err != nil {
			return notRun
		}
	}
	if !w.startSystem(deployment()) {
		return notRun
	}
	w.startClients(planKind, 30)
	time.Sleep(movedFrom - 4*time.Second)
	w.startClients(planKind, 48) // the traffic grows to 2.6 times
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.store.put("op/config", movedDeployment())
		w.rec.note("configuration 9 acknowledged: the stage of plan is at catalogo")
	}
	time.Sleep(leavesAfter)
	leaving := w.find("i-archivio-0")
	acked := leaving.register("draining")
	w.rec.note("%s reports that it is draining", leaving.id)
	time.Sleep(lingers)
	late, last := 0, time.Duration(0)
	w.rec.mu.Lock()
	for _, p := range w.rec.pieces {
		if after := p.at.Sub(acked); p.replica == leaving.id && after > drainLimit {
			late++
			last = max(last, after)
		}
	}
	w.rec.mu.Unlock()
	w.noteOutcomes()
	w.rec.note("%d pieces reached %s more than %v after its leaving was acknowledged, the last after %v", late, leaving.id, drainLimit, last.Round(time.Millisecond))
	if late > 0 {
		return broken
	}
	return held
}

// find returns the replica with an id.
func (p *platform) find(id string) *replica {
	for _, rp := range p.replicas {
		if rp.id == id {
			return rp
		}
	}
	return nil
}
