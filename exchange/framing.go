package exchange

import "net/http"

// Framing says what ends the body of an HTTP/1.1 response.
type Framing int

const (
	// FramedByLength is a body whose length the header states, or a response that has no body.
	FramedByLength Framing = iota
	// FramedByChunks is a body in chunks, which ends with an empty chunk.
	FramedByChunks
	// FramedByConn is a body that ends with its connection, so that a truncated body may look complete.
	FramedByConn
)

func (f Framing) String() string {
	switch f {
	case FramedByChunks:
		return "Chunks"
	case FramedByConn:
		return "Connection"
	}
	return "Length"
}

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength < 0 && resp.Body != http.NoBody:
		return FramedByConn
	}
	return FramedByLength
}
