package site

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// DeskConfig describes a server of the plain service.
type DeskConfig struct {
	ID string
	// Work is how long a request runs.
	Work time.Duration
	// Endless is the trouble of the desk, or nil.
	Endless *EndlessTrouble
	// StrayShare is the share of its answers after which the server sends additional bytes: the answer to a status check,
	// which bears no attempt ID. They are sent late, before the next answer on the channel.
	StrayShare float64
}

// EndlessTrouble makes a server answer some requests with bytes that are no answer, until their channel is closed. It
// comes in spells with pauses of the same length between them.
type EndlessTrouble struct {
	Spell time.Duration
	// Of and Share say that the first Share of each Of requests in a spell are answered so.
	Share, Of int
	// BytesPerSecond is the rate at which the bytes are sent.
	BytesPerSecond int
}

// Desks are the servers of the plain service and what they have received. It is safe for concurrent use.
type Desks struct {
	site *Site

	mu   sync.Mutex
	runs map[string]string
}

// NewDesks returns an empty set of desks.
func (s *Site) NewDesks() *Desks {
	return &Desks{site: s, runs: map[string]string{}}
}

// RanAt returns the ID of the sound server that ran an attempt, or "".
func (d *Desks) RanAt(attempt string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[attempt]
}

type desk struct {
	DeskConfig
	all       *Desks
	startedAt time.Time

	mu       sync.Mutex
	requests int
	answers  int
	strays   int
}

// troubled reports whether the next request is answered with bytes without end.
func (d *desk) troubled() bool {
	if d.Endless == nil || int(time.Since(d.startedAt)/d.Endless.Spell)%2 == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests++
	return (d.requests-1)%d.Endless.Of < d.Endless.Share
}

// Add starts a server and writes its entry to the store.
func (d *Desks) Add(cfg DeskConfig) error {
	added := &desk{DeskConfig: cfg, all: d, startedAt: time.Now()}
	server, err := Listen(added.serve)
	if err != nil {
		return err
	}
	d.site.closers = append(d.site.closers, server.Close)
	d.site.Store.PutReplica(cfg.ID, map[string]any{"service": DeskService, "address": server.Addr, "zone": zone, "version": "v1", "slots": 6,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1})
	return nil
}

func (d *desk) serve(channel *ServerChannel, req *http.Request) {
	attempt := req.Header.Get("Attempt-Id")
	if target := req.Header.Get("Target-Instance"); target != "" && target != d.ID {
		_ = channel.Answer(req, http.StatusMisdirectedRequest, map[string]string{"Not-Executed": "1"}, "")
		return
	}
	if d.troubled() {
		d.sendEndlessly(channel, attempt)
		return
	}
	d.all.mu.Lock()
	d.all.runs[attempt] = d.ID
	d.all.mu.Unlock()
	d.all.site.Record.Printf("%s runs %s", d.ID, attempt)
	time.Sleep(d.Work)
	_ = channel.Answer(req, http.StatusOK, map[string]string{"Response-Signature": "sig." + d.ID}, "done "+attempt)
	if d.stray() {
		channel.Late = []byte(fmt.Sprintf(statusCheckAnswer, d.ID))
		d.all.site.Record.Printf("%s will send additional bytes after its answer to %s", d.ID, attempt)
	}
}

// statusCheckAnswer is the answer to a status check, with the ID of the server.
const statusCheckAnswer = "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nInstance-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n"

// stray reports whether additional bytes follow the answer that was just sent.
func (d *desk) stray() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers++
	if float64(d.strays+1) > d.StrayShare*float64(d.answers) {
		return false
	}
	d.strays++
	return true
}

const (
	// sendInterval is the time between two parts of an endless head.
	sendInterval = 10 * time.Millisecond
	// endlessStart begins a header field that does not end.
	endlessStart = "HTTP/1.1 200 OK\r\nX-Trace: "
)

// sendEndlessly sends a header field that does not end, until the channel is closed.
func (d *desk) sendEndlessly(channel *ServerChannel, attempt string) {
	part := make([]byte, d.Endless.BytesPerSecond/int(time.Second/sendInterval))
	for i := range part {
		part[i] = 'x'
	}
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	sent := 0
	err := channel.writeRaw([]byte(endlessStart))
	for err == nil {
		<-ticker.C
		err = channel.writeRaw(part)
		sent += len(part)
	}
	d.all.site.Record.Printf("%s has sent %d MB to %s, then the channel was closed", d.ID, sent>>20, attempt)
}
