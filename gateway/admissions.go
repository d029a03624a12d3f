package gateway

import "time"

// admission is the result of charging an account's quota. retryAfter is how long to wait before retrying a
// rejected request, and level the number of tokens that are left.
type admission struct {
	ok         bool
	retryAfter time.Duration
	level      float64
}

// admit charges tokens to an account's quota. An admitted request also adds to the retry budget of its pool.
func (c *Controller) admit(account, pool string, tokens float64) admission {
	return ask(c, func() admission {
		now := c.now()
		wait, ok := c.quotas.Take(now, account, tokens)
		if ok {
			c.budget.RecordRequest(now, pool)
			c.beacon.tokensSpent = true
		}
		return admission{ok: ok, retryAfter: wait, level: c.quotas.Level(now, account)}
	})
}

// refundTokens refunds the tokens of a request that did not run.
func (c *Controller) refundTokens(account string, tokens float64) {
	c.post(func() { c.quotas.Refund(c.now(), account, tokens) })
}

// takeRetries charges a number of additional upstream requests to the retry budget of a pool, and reports whether they
// fit.
func (c *Controller) takeRetries(pool string, requests int) bool {
	return ask(c, func() bool { return c.budget.Take(c.now(), pool, requests) })
}
