package engine

import "context"

type cancelMessage struct {
	Attempt string
}

type cancelResponse struct {
	// Held reports that the engine knew the attempt and released it.
	Held bool
}

// Cancel releases the resources of an attempt and reports whether the engine knew it. It is idempotent.
// A cancel may overtake the request of its attempt, so a result is final only if it is true or if the
// connection of that request was closed before.
func (c *Client) Cancel(ctx context.Context, addr, attempt string) (bool, error) {
	var response cancelResponse
	err := c.call(ctx, "cancel", "http://"+addr+"/cancel", cancelMessage{Attempt: attempt}, &response)
	return response.Held, err
}
