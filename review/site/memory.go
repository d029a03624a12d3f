package site

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryInterval = 50 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// MemoryGuard does what the platform does with a process that exceeds its memory: it kills it, and starts it again after a
// short delay.
type MemoryGuard struct {
	site *Site
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	kills map[string]int
	most  map[string]int
}

// GuardMemory starts a MemoryGuard and returns a function that stops it.
func (s *Site) GuardMemory() (*MemoryGuard, func()) {
	g := &MemoryGuard{site: s, stop: make(chan struct{}), kills: map[string]int{}, most: map[string]int{}}
	for _, r := range s.Routers {
		g.wg.Go(func() { g.watch(r) })
	}
	return g, func() {
		close(g.stop)
		g.wg.Wait()
	}
}

// Kills returns how often each router was killed.
func (g *MemoryGuard) Kills() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	kills := map[string]int{}
	for _, r := range g.site.Routers {
		kills[r.Name] = g.kills[r.Name]
	}
	return kills
}

// Most returns the most memory that a router was seen to use, in MB.
func (g *MemoryGuard) Most(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most[name]
}

func (g *MemoryGuard) watch(r *Router) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
		}
		used := residentMB(r.PID())
		g.mu.Lock()
		g.most[r.Name] = max(g.most[r.Name], used)
		g.mu.Unlock()
		if used <= MemoryMB {
			continue
		}
		r.Kill()
		g.mu.Lock()
		g.kills[r.Name]++
		g.mu.Unlock()
		g.site.Record.Printf("%s used %d MB of %d MB, so the platform killed it", r.Name, used, MemoryMB)
		time.Sleep(restartDelay)
		if err := r.Start(); err != nil {
			g.site.Record.Sayf("%v", err)
			return
		}
	}
}

// residentMB returns the resident memory of a process in MB, or 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
