package engine

import "context"

type orderMessage struct {
	Fence  uint64
	Action string
	Value  string
}

type orderResponse struct {
	Fence uint64
}

// Order sets the state that action names, such as the loaded model, to value on an engine. Engines that check fencing
// reject a fencing token older than the newest one they have seen.
func (c *Client) Order(ctx context.Context, addr string, fence uint64, action, value string) error {
	var response orderResponse
	return c.call(ctx, "order", "http://"+addr+"/orders", orderMessage{Fence: fence, Action: action, Value: value}, &response)
}
