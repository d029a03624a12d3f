package engine

import (
	"context"

	"github.com/cassiabridge/cassiabridge/dispatch"
)

// Report is what an engine says of itself, with a lag.
type Report struct {
	Load dispatch.Load
	// HeldBytes is the KV memory in use.
	HeldBytes int64
	// Orders gives the value in force for each order action.
	Orders map[string]string
	Fence  uint64
}

type reportAnswer struct {
	Attempts  []string
	HeldBytes int64
	Cache     cacheLog
	Orders    map[string]string
	Fence     uint64
}

// cacheLog holds the newest cache events, of which the first has the number From.
type cacheLog struct {
	From   uint64
	Events []cacheEvent
}

type cacheEvent struct {
	Hash    uint64
	Removed bool
}

// Report reads the load of an engine.
func (c *Client) Report(ctx context.Context, addr, name string) (Report, error) {
	var a reportAnswer
	if err := c.call(ctx, "report", "http://"+addr+"/report", nil, &a); err != nil {
		return Report{}, err
	}
	load := dispatch.Load{Engine: name, Attempts: a.Attempts, CacheFrom: a.Cache.From}
	for _, event := range a.Cache.Events {
		load.CacheEvents = append(load.CacheEvents, dispatch.CacheEvent(event))
	}
	return Report{Load: load, HeldBytes: a.HeldBytes, Orders: a.Orders, Fence: a.Fence}, nil
}
