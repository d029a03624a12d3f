package operator

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	watchPollInterval = 50 * time.Millisecond
	// watchKeepAliveInterval is the interval at which an idle watch sends a blank line.
	watchKeepAliveInterval = 5 * time.Second
)

func fromParam(ctx iris.Context) (uint64, *Error) {
	text := ctx.URLParamDefault("From", "0")
	from, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("parse From", err)
	}
	return from, nil
}

// watch streams accepted changes from the given version on, one JSON object per line. If that version is
// no longer retained, the stream starts with the oldest retained change.
func (s *Server) watch(ctx iris.Context) *Error {
	from, refusal := fromParam(ctx)
	if refusal != nil {
		return refusal
	}
	kind := resource.Kind(ctx.URLParam("Kind"))
	ctx.ContentType("application/x-ndjson")
	writer := ctx.ResponseWriter()
	encoder, lastWriteAt := json.NewEncoder(writer), time.Now()
	for {
		if s.control.Snapshot().State.ConfigVersion >= from {
			for _, change := range s.control.AuditTrail(from, resource.Ref{}) {
				from = change.Offset + 1
				if !change.Accepted || (kind != "" && change.Ref.Kind != kind) {
					continue
				}
				if encoder.Encode(change) != nil {
					return nil
				}
				lastWriteAt = time.Now()
			}
		}
		if time.Since(lastWriteAt) > watchKeepAliveInterval {
			lastWriteAt = time.Now()
			_, _ = writer.Write([]byte("\n"))
		}
		writer.Flush()
		select {
		case <-requestContext(ctx).Done():
			return nil
		case <-time.After(watchPollInterval):
		}
		if s.control.Snapshot().Draining {
			return nil
		}
	}
}
