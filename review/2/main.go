// Command 2 plays case 2 of the review: a key is withdrawn while one partition of the store is down.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiabridge/cassiabridge/review/site"
)

const (
	routers      = 3
	topicOp      = "keyed.op"
	withdrawnKey = "key-of-a-school-that-left"
	work         = 20 * time.Millisecond
	deadline     = 4 * time.Second
	// outage is how long the partition is down, and stableWindow the time after it from which the machines are in touch
	// again (stableWindowMs).
	outage       = 4 * time.Second
	stableWindow = 3 * time.Second
	// beforeOutage and beforeWithdrawal are the times from the version before to the outage, and on to the withdrawal.
	beforeOutage     = 500 * time.Millisecond
	beforeWithdrawal = time.Second
	// checkTime is how long requests with the key are sent after that, one every checkInterval to each router.
	checkTime     = 6 * time.Second
	checkInterval = 200 * time.Millisecond
)

func main() { site.Main("2", play) }

// game is the state of the case.
type game struct {
	site     *site.Site
	desks    *site.Desks
	attempts atomic.Int64
}

func play(s *site.Site) (site.Verdict, error) {
	g := &game{site: s, desks: s.NewDesks()}
	for n := 1; n <= 2; n++ {
		if err := g.desks.Add(site.DeskConfig{ID: fmt.Sprintf("i-desk-%d", n), Work: work}); err != nil {
			return site.Held, err
		}
	}
	g.setKeys(site.Key, withdrawnKey)
	if err := s.Start(routers); err != nil {
		return site.Held, err
	}
	if !g.keyServed() {
		return site.Held, fmt.Errorf("the key does not work before it is withdrawn")
	}
	g.withdrawDuringOutage()
	time.Sleep(stableWindow)
	return g.check(), nil
}

// setKeys sets the keys of the tenant.
func (g *game) setKeys(keys ...string) { g.site.Config.Tenants[0]["apiKeys"] = keys }

// withdrawDuringOutage withdraws the key while the partition of the operator's topic is down. Another version of the
// configuration came shortly before.
func (g *game) withdrawDuringOutage() {
	g.site.Configure()
	g.site.Record.Sayf("version %d is acked", g.site.Config.Version)
	time.Sleep(beforeOutage)
	if site.Trouble() {
		g.site.SetPartitionDown(topicOp)
		g.site.Record.Sayf("the partition of %s is down", topicOp)
	}
	endsAt := time.Now().Add(outage)
	time.Sleep(beforeWithdrawal)
	g.setKeys(site.Key)
	g.site.Configure()
	g.site.Record.Sayf("version %d is acked, which withdraws the key", g.site.Config.Version)
	time.Sleep(time.Until(endsAt))
	g.site.SetPartitionDown("")
	g.site.Record.Sayf("the store is well again")
}

// keyServed reports whether each router serves a request with the key.
func (g *game) keyServed() bool {
	for _, router := range g.site.Routers {
		if g.send(router) != http.StatusOK {
			return false
		}
	}
	return true
}

// check sends requests with the withdrawn key to all routers and looks for those that ran.
func (g *game) check() site.Verdict {
	var wg sync.WaitGroup
	var ran atomic.Int64
	g.site.Record.Sayf("all machines are in touch")
	until := time.Now().Add(checkTime)
	for _, router := range g.site.Routers {
		wg.Go(func() {
			for ; time.Now().Before(until); time.Sleep(checkInterval) {
				if g.send(router) == http.StatusOK {
					ran.Add(1)
				}
			}
		})
	}
	wg.Wait()
	g.site.Record.Sayf("%d requests with the withdrawn key ran at machines in touch", ran.Load())
	return site.Verdict(ran.Load() > 0)
}

// send sends a request with the key and returns the status of its answer.
func (g *game) send(router *site.Router) int {
	attempt := fmt.Sprintf("%016x", g.attempts.Add(1))
	g.site.Record.Printf("client sends %s to %s", attempt, router.Name)
	reply := site.Send(router.Callers, site.Call{Method: "POST", Path: "/release/sheet", Attempt: attempt, Deadline: deadline, Key: withdrawnKey,
		Body: []byte("a sheet run")})
	g.site.Record.Printf("client gets for %s, which ran at %q: %s", attempt, g.desks.RanAt(attempt), reply)
	return reply.Status
}
