package engine

import "context"

type cancelMessage struct {
	Attempt string
}

type cancelAnswer struct {
	// Held says that the attempt was known and has been released.
	Held bool
}

// Cancel releases what an attempt holds and returns whether the engine knew it. It is idempotent. A
// cancel may overtake its request, so only an answer after the request's connection has closed, or
// one that says that the attempt was held, is final.
func (c *Client) Cancel(ctx context.Context, addr, attempt string) (bool, error) {
	var answer cancelAnswer
	err := c.call(ctx, "cancel", "http://"+addr+"/cancel", cancelMessage{Attempt: attempt}, &answer)
	return answer.Held, err
}
