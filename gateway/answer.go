package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiabridge/cassiabridge/exchange"
)

// copyBytes is the size of the pieces in which answers are passed on.
const copyBytes = 16 << 10

// answerWriter passes an answer on to a caller.
type answerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	// started says that the head of the answer has been written.
	started bool
	status  int
	bytes   int64
	// onFirst is called when the first piece of the body comes.
	onFirst func()
}

// limit bounds how long a caller may take to read its answer.
func (w *answerWriter) limit(until time.Time) { _ = w.controller.SetWriteDeadline(until) }

// start writes the head of an upstream's answer. length is -1 if it is not known.
func (w *answerWriter) start(status int, h http.Header, length int64) {
	header := w.Header()
	for name, values := range h {
		header[name] = values
	}
	if _, named := header["Content-Type"]; !named {
		// Without an entry net/http would guess one.
		header["Content-Type"] = nil
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.started, w.status = true, status
	w.WriteHeader(status)
}

// write passes on a piece of the body at once.
func (w *answerWriter) write(p []byte) error {
	if w.bytes == 0 && w.onFirst != nil {
		w.onFirst()
	}
	n, err := w.Write(p)
	w.bytes += int64(n)
	if err != nil {
		return err
	}
	return w.controller.Flush()
}

// copyWhole passes on the body of an answer as it comes.
func (w *answerWriter) copyWhole(resp *exchange.Response) error {
	buffer := make([]byte, copyBytes)
	for {
		n, err := resp.Read(buffer)
		if n > 0 {
			if writeErr := w.write(buffer[:n]); writeErr != nil {
				return &Error{Op: "write answer", Kind: ErrCallerGone, Err: writeErr}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
