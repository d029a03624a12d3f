package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	minEvents, maxEvents = 5, 160
	maxGap               = 12 * time.Millisecond
	// maxAttempts is the highest number of attempts for one stream.
	maxAttempts = 8
	// patience is how long a caller waits for the next bytes.
	patience = 2500 * time.Millisecond
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// retryDelay is the time before the next attempt where no answer names one.
	retryDelay = 100 * time.Millisecond
	// maxRetryDelay is the longest time before the next attempt.
	maxRetryDelay = time.Second
	// newConnShare is one in how many streams begins on a new connection, at any VM.
	newConnShare = 15
	// callerBufferBytes is the size of one read.
	callerBufferBytes = 4 << 10
)

// caller sends one request after the other and judges the streams that it gets.
type caller struct {
	n       int
	site    *site
	results *results
	rng     *rand.Rand
	streams int
	// conn is the connection to vm that the next request uses, or nil.
	conn   net.Conn
	reader *bufio.Reader
	vm     int
}

func newCaller(n int, s *site, r *results) *caller {
	return &caller{n: n, site: s, results: r, rng: newRand(s.opts.Seed, fmt.Sprint("caller", n))}
}

// judge judges the answers to one request.
type judge interface {
	beginAnswer()
	add(data []byte) (BreachKind, string)
	end() BreachKind
	state() string
}

// stream is one request of a caller, in one or more attempts.
type stream struct {
	request request
	prompt  prompt
	*checker
	// judge is the checker, but for plain answers.
	judge judge
	// attempts holds the IDs of all attempts, vms those that they were sent to, and origin the attempt that brought the first event.
	attempts, vms []string
	origin        string
}

// outcome is how an attempt ended.
type outcome int

const (
	// broken attempts can be followed by another one.
	broken outcome = iota
	complete
	// wrong attempts broke a rule.
	wrong
)

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		c.streams++
		c.runStream(ctx, c.drawStream(fmt.Sprintf("c%d-%d", c.n, c.streams)))
	}
}

// drawStream draws what is asked for next.
func (c *caller) drawStream(name string) *stream {
	r := c.site.opts.layout.drawRequest(c.rng)
	if r.kind != streaming {
		return &stream{request: r, checker: newChecker(prompt{Name: name}), judge: &plainChecker{name: name, size: r.bodyBytes.draw(c.rng)}}
	}
	p := prompt{Name: name, Events: r.pieces.draw(c.rng), EventBytes: r.pieceBytes.draw(c.rng), Gap: time.Duration(c.rng.Int64N(int64(maxGap)))}
	checker := newChecker(p)
	return &stream{request: r, prompt: p, checker: checker, judge: checker}
}

// runStream sends the attempts of a stream until it is complete, breaks a rule or is given up.
func (c *caller) runStream(ctx context.Context, s *stream) {
	end := broken
	for end == broken && len(s.attempts) < maxAttempts && ctx.Err() == nil && (s.request.resumable || s.last == 0) {
		end = c.attempt(ctx, s)
	}
	c.results.update(func(r *Report) {
		r.Events += s.last
		if s.last > 0 {
			r.Streams++
		}
		switch {
		case end == complete && s.request.kind != streaming:
			r.Plain++
		case end == complete:
			r.Completed++
		case end == broken:
			r.Abandoned++
		}
	})
}

// attempt sends one attempt of a stream and judges its answer.
func (c *caller) attempt(ctx context.Context, s *stream) outcome {
	if c.conn == nil || c.rng.IntN(newConnShare) == 0 {
		if err := c.connect(); err != nil {
			sleep(ctx, retryDelay)
			return broken
		}
	}
	id := fmt.Sprintf("%s-%02d-%08x", s.name, len(s.attempts)+1, c.rng.Uint32())
	s.attempts, s.vms = append(s.attempts, id), append(s.vms, vmName(c.vm))
	resp, err := c.send(s, id)
	if err != nil {
		c.disconnect()
		return broken
	}
	if resp.StatusCode != http.StatusOK {
		c.refused(ctx, resp)
		return broken
	}
	if echo := resp.Header.Get(standin.HeaderAttempt); echo != "" && echo != id {
		return c.breach(s, OtherRequest, "answer to "+echo)
	}
	if resp.Header.Get(standin.HeaderSignature) == "" {
		return c.breach(s, Unsigned, fmt.Sprint(resp.Header))
	}
	return c.read(s, id, resp)
}

// send writes a request and reads the head of its answer.
func (c *caller) send(s *stream, id string) (*http.Response, error) {
	body, path := s.prompt.String(), s.request.prefix+s.name
	if plain, ok := s.judge.(*plainChecker); ok {
		body, path = "", s.request.prefix+plainPath(s.name, plain.size)
	}
	r, err := http.NewRequest(s.request.method, "http://"+siteHost+path, strings.NewReader(body))
	if err != nil {
		return nil, &Error{"create request", err}
	}
	r.Header = http.Header{standin.HeaderAttempt: {id}, "Authorization": {"Bearer " + siteKey}, standin.HeaderTimeout: {"15000"}}
	if s.request.kind == streaming {
		maps.Copy(r.Header, http.Header{"Model": {modelName}, standin.HeaderTokens: {fmt.Sprint(promptTokens, ",200")}, standin.HeaderParts: {fmt.Sprint("ab:", promptTokens)}})
	}
	if s.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		if !c.site.opts.WithoutResumes {
			r.Header.Set("Resumes", s.origin)
		}
	}
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	if err := r.Write(c.conn); err != nil {
		return nil, &Error{"send request", err}
	}
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, &Error{"read response", err}
	}
	return resp, nil
}

// refused reads an answer that is no success, and waits as it says.
func (c *caller) refused(ctx context.Context, resp *http.Response) {
	c.results.update(func(r *Report) { r.Refused[resp.StatusCode]++ })
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
		c.disconnect()
	}
	delay := retryDelay
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		delay = min(max(delay, time.Duration(seconds*float64(time.Second))), maxRetryDelay)
	}
	sleep(ctx, delay)
}

// read reads and judges the body of a success.
func (c *caller) read(s *stream, id string, resp *http.Response) outcome {
	s.judge.beginAnswer()
	before := s.last
	buffer := make([]byte, callerBufferBytes)
	var err error
	for err == nil {
		var n int
		_ = c.conn.SetDeadline(time.Now().Add(patience))
		n, err = resp.Body.Read(buffer)
		kind, detail := s.judge.add(buffer[:n])
		if s.origin == "" && s.last > 0 {
			s.origin = id
		}
		if kind != "" {
			return c.breach(s, kind, detail)
		}
	}
	if before > 0 && s.last > before {
		c.results.update(func(r *Report) { r.Resumed++ })
	}
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		c.results.update(func(r *Report) { r.Broken++ })
		c.disconnect()
		return broken
	}
	unframed := resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
	if resp.Close || unframed {
		c.disconnect()
	}
	if kind := s.judge.end(); kind != "" {
		return c.breach(s, kind, fmt.Sprintf("%s, length %d, coding %v", s.judge.state(), resp.ContentLength, resp.TransferEncoding))
	}
	return complete
}

func (c *caller) breach(s *stream, kind BreachKind, detail string) outcome {
	c.disconnect()
	c.results.addBreach(Breach{Kind: kind, Route: s.request.prefix, Attempts: s.attempts, VMs: s.vms, Detail: detail})
	return wrong
}

// connect opens a connection to any VM.
func (c *caller) connect() error {
	c.disconnect()
	c.vm = c.rng.IntN(len(c.site.vms))
	conn, err := net.DialTimeout("tcp", c.site.vms[c.vm].entry, dialTimeout)
	if err != nil {
		return &Error{"connect", err}
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *caller) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
