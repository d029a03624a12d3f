package operator

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	watchPeriod = 50 * time.Millisecond
	// watchKeepAlive is the period of blank lines on an idle watch.
	watchKeepAlive = 5 * time.Second
)

func fromParam(ctx iris.Context) (uint64, *Error) {
	text := ctx.URLParamDefault("From", "0")
	from, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("parse From", err)
	}
	return from, nil
}

// watch streams accepted changes from a version on, one JSON object a line. A watch of a version that
// is not kept any more starts with the oldest change that is.
func (s *Server) watch(ctx iris.Context) *Error {
	from, refusal := fromParam(ctx)
	if refusal != nil {
		return refusal
	}
	kind := resource.Kind(ctx.URLParam("Kind"))
	ctx.ContentType("application/x-ndjson")
	writer := ctx.ResponseWriter()
	encoder, quietSince := json.NewEncoder(writer), time.Now()
	for {
		if s.control.Snapshot().State.ConfigVersion >= from {
			for _, change := range s.control.Trail(from, resource.Ref{}) {
				from = change.Offset + 1
				if !change.Accepted || (kind != "" && change.Ref.Kind != kind) {
					continue
				}
				if encoder.Encode(change) != nil {
					return nil
				}
				quietSince = time.Now()
			}
		}
		if time.Since(quietSince) > watchKeepAlive {
			quietSince = time.Now()
			_, _ = writer.Write([]byte("\n"))
		}
		writer.Flush()
		select {
		case <-requestContext(ctx).Done():
			return nil
		case <-time.After(watchPeriod):
		}
		if s.control.Snapshot().Draining {
			return nil
		}
	}
}
