package engine

import (
	"context"

	"github.com/cassiabridge/cassiabridge/dispatch"
)

// Report is the state that an engine reports about itself. It may lag behind the actual state.
type Report struct {
	Load dispatch.LoadReport
	// HeldBytes is the KV cache memory in use, in bytes.
	HeldBytes int64
	// Orders maps each order action to its value in force.
	Orders map[string]string
	Fence  uint64
}

type reportResponse struct {
	Attempts  []string
	HeldBytes int64
	Cache     cacheLog
	Orders    map[string]string
	Fence     uint64
}

// cacheLog holds the newest cache events. From is the sequence number of the first one.
type cacheLog struct {
	From   uint64
	Events []cacheEvent
}

type cacheEvent struct {
	Hash    uint64
	Removed bool
}

// Report fetches the report of the engine called name.
func (c *Client) Report(ctx context.Context, addr, name string) (Report, error) {
	var response reportResponse
	if err := c.call(ctx, "report", "http://"+addr+"/report", nil, &response); err != nil {
		return Report{}, err
	}
	load := dispatch.LoadReport{Engine: name, Attempts: response.Attempts, CacheFrom: response.Cache.From}
	for _, event := range response.Cache.Events {
		load.CacheEvents = append(load.CacheEvents, dispatch.CacheEvent(event))
	}
	return Report{Load: load, HeldBytes: response.HeldBytes, Orders: response.Orders, Fence: response.Fence}, nil
}
