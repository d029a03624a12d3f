// Command 3 plays case 3 of the review: one server of the desk sends bytes that are no answer, without end.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiabridge/cassiabridge/review/site"
)

const (
	routers  = 2
	playTime = 60 * time.Second
	// clientsPerRouter clients send one request after the other with a pause, about ten requests a second to each router,
	// as the sheet's rates give.
	clientsPerRouter = 4
	pause            = 300 * time.Millisecond
	work             = 60 * time.Millisecond
	deadline         = 4 * time.Second
	// bytesPerSecond is below the bandwidth of a machine's link, 1,000 Mbit/s.
	bytesPerSecond = 100 << 20
	// spell, troubleShare and troubleOf are the dose of srv_grey in the site file: for 6.5 s, one server fails 0.4 of its
	// requests while its status check is good.
	spell        = 6500 * time.Millisecond
	troubleShare = 2
	troubleOf    = 5
	// minKills is the number of ends of a process from which they count, and minMachines the number of machines.
	minKills    = 3
	minMachines = 2
	// mostLost is the number of lost requests that the rule LOST allows.
	mostLost = 3
)

func main() { site.Main("3", play) }

// game is the state of the case.
type game struct {
	site     *site.Site
	desks    *site.Desks
	attempts atomic.Int64
	answered atomic.Int64
	// lost counts the requests that a sound server ran and whose channel ended without an answer.
	lost atomic.Int64
}

func play(s *site.Site) (site.Verdict, error) {
	g := &game{site: s, desks: s.NewDesks()}
	for n := 1; n <= 4; n++ {
		cfg := site.DeskConfig{ID: fmt.Sprintf("i-desk-%d", n), Work: work}
		if n == 1 && site.Trouble() {
			cfg.Endless = &site.EndlessTrouble{Spell: spell, Share: troubleShare, Of: troubleOf, BytesPerSecond: bytesPerSecond}
		}
		if err := g.desks.Add(cfg); err != nil {
			return site.Held, err
		}
	}
	if err := s.Start(routers); err != nil {
		return site.Held, err
	}
	guard, stop := s.GuardMemory()
	g.sendAll()
	stop()
	return g.judge(guard), nil
}

// sendAll has the clients of both routers send requests for playTime.
func (g *game) sendAll() {
	var wg sync.WaitGroup
	until := time.Now().Add(playTime)
	for _, router := range g.site.Routers {
		for range clientsPerRouter {
			wg.Go(func() { g.work(router, until) })
		}
	}
	wg.Wait()
}

// work sends requests to one router on a kept channel.
func (g *game) work(router *site.Router, until time.Time) {
	var channel *site.ClientChannel
	for ; time.Now().Before(until); time.Sleep(pause) {
		if channel == nil || !channel.Usable() {
			opened, err := site.Dial(router.Callers)
			if err != nil {
				continue
			}
			defer opened.Close()
			channel = opened
		}
		g.send(channel, router)
	}
}

// send sends one request and notes whether its answer was lost.
func (g *game) send(channel *site.ClientChannel, router *site.Router) {
	attempt := fmt.Sprintf("%016x", g.attempts.Add(1))
	g.site.Record.Printf("client sends %s to %s", attempt, router.Name)
	reply := channel.Do(site.Call{Method: "POST", Path: "/release/sheet", Attempt: attempt, Deadline: deadline, Body: []byte("a sheet run")})
	ranAt := g.desks.RanAt(attempt)
	g.site.Record.Printf("client gets for %s, which ran at %q: %s", attempt, ranAt, reply)
	switch {
	case reply.Complete:
		g.answered.Add(1)
	case ranAt != "":
		g.lost.Add(1)
		g.site.Record.Printf("LOST: %s", attempt)
	}
}

// judge breaks the rule if enough machines lost their processes often enough, or if too many requests that were passed on
// to sound servers got no answer.
func (g *game) judge(guard *site.MemoryGuard) site.Verdict {
	machines := 0
	for name, kills := range guard.Kills() {
		g.site.Record.Sayf("%s was killed %d times for its memory, it used %d MB at most", name, kills, guard.Most(name))
		if kills >= minKills {
			machines++
		}
	}
	g.site.Record.Sayf("%d requests, %d answered, %d ran at a sound server and got no answer", g.attempts.Load(), g.answered.Load(), g.lost.Load())
	return site.Verdict(machines >= minMachines || g.lost.Load() > mostLost)
}
