package engine

import "context"

type orderMessage struct {
	Fence  uint64
	Action string
	Value  string
}

type orderAnswer struct {
	Fence uint64
}

// Order tells an engine to reach a state. fence is the fencing number, which some engines check.
func (c *Client) Order(ctx context.Context, addr string, fence uint64, action, value string) error {
	var answer orderAnswer
	return c.call(ctx, "order", "http://"+addr+"/orders", orderMessage{Fence: fence, Action: action, Value: value}, &answer)
}
