package exchange

import "slices"

// History is the set of connections that tries of one request have used. An upstream may send a second copy of a response
// late, at the point where the next response is expected. If the next request is another try of the same one, its response
// cannot be told from that copy, so it goes over another connection. The zero value is empty. It is not safe for concurrent use.
type History struct {
	conns []*conn
}

func (h *History) add(c *conn) {
	if h != nil {
		h.conns = append(h.conns, c)
	}
}

func (h *History) contains(c *conn) bool { return h != nil && slices.Contains(h.conns, c) }
