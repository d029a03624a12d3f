package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/cassiabridge/cassiabridge/standin"
)

// layout says what a site consists of and what its callers ask for.
type layout struct {
	services []service
	// places holds the replicas by number, and begins anew where a run has more.
	places   []place
	requests []request
}

// service is a service of the site. It has model replicas if stride is positive.
type service struct {
	Name                                          string
	Slots, MaxConnections, CapacityTokens, Stride int
}

// place is what a replica serves. The stage is empty where the service has none.
type place struct{ service, stage string }

// request is a kind of request, with a route of its own.
type request struct {
	prefix, service, method string
	// kind is the type of the route.
	kind      string
	resumable bool
	attempts  int
	timeout   time.Duration
	// share is how often the kind is asked for, in relation to the others.
	share float64
	// pieces and pieceBytes are the number and the size of the events of a stream, and bodyBytes is the size of a plain answer.
	pieces, pieceBytes, bodyBytes distribution
}

const (
	streaming     = standin.RouteStreaming
	idempotent    = standin.RouteIdempotent
	nonIdempotent = standin.RouteNonIdempotent
	// engineSlots, maxConnections and one token an event are those of services where no site says otherwise.
	engineSlots    = 48
	maxConnections = 300
)

// defaultLayout returns a site with a route of each kind of stream for each service.
func defaultLayout() *layout {
	stream := func(prefix, service string, resumable bool) request {
		return request{prefix: prefix, service: service, method: "POST", kind: streaming, resumable: resumable, attempts: 3, timeout: 20 * time.Second,
			share: 1, pieces: distribution{Min: minEvents, Max: maxEvents}}
	}
	return &layout{
		services: []service{{Name: engineService, Slots: engineSlots, MaxConnections: maxConnections, CapacityTokens: kvTokens, Stride: 1},
			{Name: plainService, MaxConnections: maxConnections}},
		places: []place{{engineService, "prefill"}, {engineService, "decode"}, {engineService, "decode"}, {plainService, ""}},
		requests: []request{stream("/check/", engineService, true), stream("/review/", engineService, false),
			stream("/feed/", plainService, true), stream("/talk/", plainService, false)},
	}
}

// distribution is that of a size or number: log-normal around Mean, or even between Min and Max where Mean is 0.
type distribution struct{ Mean, Spread, Min, Max float64 }

func (d distribution) draw(rng *rand.Rand) int {
	if d.Mean == 0 {
		return int(d.Min + rng.Float64()*(d.Max-d.Min))
	}
	return int(max(1, min(d.Max, math.Round(d.Mean*math.Exp(d.Spread*rng.NormFloat64())))))
}

// drawRequest draws a kind of request by the shares.
func (l *layout) drawRequest(rng *rand.Rand) request {
	total := 0.0
	for _, r := range l.requests {
		total += r.share
	}
	at := rng.Float64() * total
	for _, r := range l.requests {
		if at -= r.share; at < 0 {
			return r
		}
	}
	return l.requests[len(l.requests)-1]
}

// prefixes returns the path prefixes of a service's routes.
func (l *layout) prefixes(service string) []string {
	var prefixes []string
	for _, r := range l.requests {
		if r.service == service {
			prefixes = append(prefixes, r.prefix)
		}
	}
	return prefixes
}

// siteFile is the part of a bench's site file that the soak plays.
type siteFile struct {
	Machines []struct{ Count int }
	Services []struct {
		Name    string
		Slots   int
		ConnCap int `toml:"conn_cap"`
		Servers []struct{ Count int }
		LLM     struct {
			Prefill  float64
			Stride   int
			KVTokens int `toml:"kv_tokens"`
		} `toml:"llm"`
	}
	Classes []struct {
		Name, Service, Method, Kind string
		Attempts                    int
		TimeoutMs                   float64      `toml:"timeout_ms"`
		RespBytes                   distribution `toml:"resp_bytes"`
		Stream                      struct {
			Pieces     distribution
			PieceBytes distribution `toml:"piece_bytes"`
			Resume     bool
		}
	}
	Traffic []struct{ Mix map[string]float64 }
}

// WithSite returns options with the VMs, replicas and requests of a site file of the bench.
func (o Options) WithSite(path string) (Options, error) {
	var f siteFile
	if _, err := toml.DecodeFile(path, &f); err != nil {
		return o, &Error{"read site", err}
	}
	o.VMs = 0
	for _, m := range f.Machines {
		o.VMs += m.Count
	}
	var err error
	if o.layout, err = f.layout(); err != nil {
		return o, &Error{"read site", err}
	}
	o.Replicas = len(o.layout.places)
	return o, nil
}

// routeTypes holds the route type for each kind of a site file.
var routeTypes = map[string]string{"stream": streaming, "safe": idempotent, "unsafe": nonIdempotent}

func (f siteFile) layout() (*layout, error) {
	l := &layout{}
	for _, s := range f.Services {
		l.services = append(l.services, service{Name: s.Name, Slots: s.Slots, MaxConnections: s.ConnCap, CapacityTokens: s.LLM.KVTokens, Stride: s.LLM.Stride})
		replicas := 0
		for _, group := range s.Servers {
			replicas += group.Count
		}
		prefill := int(math.Round(s.LLM.Prefill * float64(replicas)))
		for n := range replicas {
			l.places = append(l.places, place{s.Name, stageOf(s.LLM.Stride > 0, n < prefill)})
		}
	}
	for _, c := range f.Classes {
		r := request{prefix: "/" + c.Name + "/", service: c.Service, method: c.Method, kind: routeTypes[c.Kind], resumable: c.Stream.Resume, attempts: c.Attempts,
			timeout: time.Duration(c.TimeoutMs * float64(time.Millisecond)), pieces: c.Stream.Pieces, pieceBytes: c.Stream.PieceBytes, bodyBytes: c.RespBytes}
		for _, t := range f.Traffic {
			r.share += t.Mix[c.Name]
		}
		if r.kind == "" {
			return nil, fmt.Errorf("class %s has an unknown kind %q", c.Name, c.Kind)
		}
		l.requests = append(l.requests, r)
	}
	return l, nil
}

func stageOf(isModel, prefills bool) string {
	switch {
	case !isModel:
		return ""
	case prefills:
		return "prefill"
	}
	return "decode"
}
