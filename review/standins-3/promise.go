package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["promise"] = playPromise }

const (
	// The dose of srv_grey: one replica of seven (share 0.15) fails 0.4 of its requests, for 5 s.
	greyReplicas = 7
	greyFailures = 2 // of each greyOf requests
	greyOf       = 5
	greyTime     = 5 * time.Second
)

// playPromise lets one replica fail a part of its requests while its health check is good: it runs
// them, fails, and says so with 503 and without Not-Executed. Callers submit orders that must not
// run twice, and send one again only if they got a status that promises that it has not run.
func playPromise(s *site) (held bool, err error) {
	var grey atomic.Bool
	var seen atomic.Int64
	serve := func(p *replica, w http.ResponseWriter, r *http.Request, body []byte) {
		if p.id != "i-desk-0" || !grey.Load() || (seen.Add(1)-1)%greyOf >= greyFailures {
			serveWhole(p, w, r, body)
			return
		}
		x := s.beginRun(p.id, r)
		defer s.endRun(x)
		if !work(r, 20*time.Millisecond) {
			return
		}
		s.logf("request %s: %s ran it and answers 503, without Not-Executed", x.id, p.id)
		p.sign(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, "order stored, confirmation failed")
	}
	if _, err = s.addReplicas(greyReplicas, "desk", 6, serve); err != nil {
		return false, err
	}
	s.store.put("op/config", configuration(3, []document{tenant("workshop", "key-of-workshop")}, []document{plainRoute("once", "unsafe")}, []document{plainService("desk")}))
	if err = s.startRouters(); err != nil {
		return false, err
	}
	grey.Store(s.trouble)
	if s.trouble {
		s.logf("i-desk-0 is grey from now on")
		time.AfterFunc(greyTime, func() { grey.Store(false); s.logf("i-desk-0 is sound again") })
	}
	c := &caller{s: s}
	var mu sync.Mutex
	var wg sync.WaitGroup
	broken, doubled, served := 0, 0, 0
	end := time.Now().Add(greyTime)
	for client := range 15 {
		wg.Go(func() {
			for order := 0; time.Now().Before(end); order++ {
				runs := 0
				for try := range 2 {
					id, a := c.ask(client+order+try, http.MethodPost, fmt.Sprintf("/once/order-%d-%d", client, order), "key-of-workshop", 1500*time.Millisecond, nil)
					ran := len(s.runsOf(id))
					runs += ran
					promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
					mu.Lock()
					if promised && ran > 0 {
						broken++
						s.logf("request %s: was answered %d and has run", id, a.status)
					}
					if a.status == http.StatusOK {
						served++
					}
					mu.Unlock()
					if !promised {
						break
					}
				}
				if runs > 1 {
					mu.Lock()
					doubled++
					mu.Unlock()
					s.logf("order %d-%d: ran %d times, in requests that the caller sent after the promise", client, order, runs)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	s.logf("%d requests were served, %d were answered 429 or 503 and have run, %d orders ran twice so", served, broken, doubled)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return broken == 0, nil
}
