// Command 1 plays case 1 of the review: full decode engines send some refusals twice, the second time late.
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
	cycles = 20
	// memoryTokens is small, so that few clients fill an engine.
	memoryTokens = 20_000
	// doubledShare is the share of spoilt answers that the bench plays if a day names none.
	doubledShare = 0.02
	// eventGap is the time of 77 steps, and readRate the reading rate in tokens a second, as the sheet gives them.
	eventGap = 43 * time.Millisecond
	readRate = 55_555
	deadline = 14 * time.Second
	// fillers is the number of streams that fill both decode engines.
	fillers = 22
	// lateStart is when the request that finds both engines full is sent, from the start of a cycle. The first stream
	// ends 100 ms later.
	lateStart = 350 * time.Millisecond
	// quietTime is the time of a cycle with short requests only, sent by quietWorkers clients to each router.
	quietTime    = 1500 * time.Millisecond
	quietWorkers = 3
)

// Tokens of the requests: the prompt and the longest output. The hint of the longer ones is far off.
const (
	streamUsage = "1000,770"
	streamHint  = "77"
	shortUsage  = "200,77"
)

func main() { site.Main("1", play) }

// game is the state of the case.
type game struct {
	site     *site.Site
	engines  *site.Engines
	attempts atomic.Int64

	mu sync.Mutex
	// refused holds the attempts that were answered with a promise that they have not run and never will.
	refused []string
}

func play(s *site.Site) (site.Verdict, error) {
	s.EngineSpec()["kvCapacityTokens"] = memoryTokens
	g := &game{site: s, engines: s.NewEngines()}
	if err := g.addEngines(); err != nil {
		return site.Held, err
	}
	if err := s.Start(2); err != nil {
		return site.Held, err
	}
	g.sendShort(quietTime)
	for range cycles {
		g.playCycle()
	}
	// Runs that nobody waits for any more end too.
	time.Sleep(time.Second)
	return g.judge(), nil
}

// addEngines starts two prefill and two decode engines. The decode engines, half of the service, double answers.
func (g *game) addEngines() error {
	doubled := 0.0
	if site.Trouble() {
		doubled = doubledShare
	}
	for _, cfg := range []site.EngineConfig{
		{ID: "i-prefill-1", Stage: "prefill", TokensPerSecond: readRate},
		{ID: "i-prefill-2", Stage: "prefill", TokensPerSecond: readRate},
		{ID: "i-decode-1", Stage: "decode", MemoryTokens: memoryTokens, EventGap: eventGap, DoubledShare: doubled},
		{ID: "i-decode-2", Stage: "decode", MemoryTokens: memoryTokens, EventGap: eventGap, DoubledShare: doubled},
	} {
		if _, err := g.engines.Add(cfg); err != nil {
			return err
		}
	}
	return nil
}

// playCycle fills the decode engines through the second router, and sends one request through the first, which finds
// them full. Short requests follow.
func (g *game) playCycle() {
	var wg sync.WaitGroup
	for range fillers {
		wg.Go(func() { g.send(g.site.Routers[1], streamUsage) })
	}
	time.Sleep(lateStart)
	wg.Go(func() { g.send(g.site.Routers[0], streamUsage) })
	wg.Wait()
	g.sendShort(quietTime)
}

// sendShort sends short requests through both routers for some time.
func (g *game) sendShort(d time.Duration) {
	var wg sync.WaitGroup
	until := time.Now().Add(d)
	for n := range quietWorkers * len(g.site.Routers) {
		router := g.site.Routers[n%len(g.site.Routers)]
		wg.Go(func() {
			for time.Now().Before(until) {
				g.send(router, shortUsage)
			}
		})
	}
	wg.Wait()
}

// send sends a request of a route that may not be repeated, on a channel of its own.
func (g *game) send(router *site.Router, usage string) {
	attempt := fmt.Sprintf("%016x", g.attempts.Add(1))
	header := map[string]string{"Model": "m", "Token-Usage": usage, "Prefix-Hash": attempt[8:] + ":200"}
	if usage == streamUsage {
		header["Length-Hint"] = streamHint
	}
	g.site.Record.Printf("client sends %s to %s", attempt, router.Name)
	reply := site.Send(router.Callers, site.Call{Method: "POST", Path: "/cutpath/sheet", Attempt: attempt, Deadline: deadline,
		Body: []byte("a die-line file"), Header: header})
	g.site.Record.Printf("client gets for %s: %s", attempt, reply)
	if reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.refused = append(g.refused, attempt)
	}
}

// judge looks for attempts that ran more than once, and for those that ran although they were refused.
func (g *game) judge() site.Verdict {
	answers, refused, doubled := g.engines.Counts()
	g.site.Record.Sayf("%d answers of engines, %d of them refusals, %d sent twice", answers, refused, doubled)
	runs := g.engines.Runs()
	twice, ranRefused := 0, 0
	for attempt, list := range runs {
		if len(list) > 1 {
			twice++
			g.site.Record.Sayf("TWICE: attempt %s ran %d times", attempt, len(list))
		}
	}
	for _, attempt := range g.refused {
		if n := len(runs[attempt]); n > 0 {
			ranRefused++
			g.site.Record.Sayf("REFUSED: attempt %s ran %d times and was refused", attempt, n)
		}
	}
	g.site.Record.Sayf("%d attempts ran, %d of them more than once; of %d refused ones %d ran", len(runs), twice, len(g.refused), ranRefused)
	return site.Verdict(twice+ranRefused > 0)
}
