package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiabridge/cassiabridge/control"
)

// RunStatus states whether a failed request has run.
type RunStatus string

// Values of RunStatus.
const (
	NotRun  RunStatus = "not_run"
	InDoubt RunStatus = "unknown"
	Ran     RunStatus = "ran"
)

// Error reports a request that was rejected or failed. It is returned to callers as JSON.
type Error struct {
	// Op names the step that failed. Kind is returned to callers as the error type.
	Op         string
	Kind       string
	Status     int
	Run        RunStatus
	RetryAfter time.Duration
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newRefusal(op string, status int, kind, message string) *Error {
	return &Error{Op: op, Kind: kind, Status: status, Run: NotRun, Err: errors.New(message)}
}

// withRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) withRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

func inDoubtError(op, message string) *Error {
	return &Error{Op: op, Kind: "in_doubt", Status: http.StatusConflict, Run: InDoubt, RetryAfter: time.Second, Err: errors.New(message)}
}

func notReadyError(op string) *Error {
	return newRefusal(op, http.StatusServiceUnavailable, "not_ready", "this VM does not hold a fresh configuration").withRetryAfter(time.Second)
}

// translateControlError converts an error of package control to an Error.
func translateControlError(op string, err error) *Error {
	var controlErr *control.Error
	if !errors.As(err, &controlErr) {
		return newRefusal(op, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
	switch controlErr.Kind {
	case control.ErrOverRate:
		return newRefusal(op, http.StatusTooManyRequests, "rate_limit_exceeded", controlErr.Err.Error()).withRetryAfter(controlErr.RetryAfter)
	case control.ErrTooLarge:
		return newRefusal(op, http.StatusBadRequest, "request_too_large", controlErr.Err.Error())
	}
	return newRefusal(op, http.StatusServiceUnavailable, "unavailable", controlErr.Err.Error()).withRetryAfter(time.Second)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string    `json:"message"`
	Type         string    `json:"type"`
	Run          RunStatus `json:"run"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
}

func (e *Error) body() errorBody {
	return errorBody{Error: errorDetail{Message: e.Err.Error(), Type: e.Kind, Run: e.Run, RetryAfterMS: e.RetryAfter.Milliseconds()}}
}

func (e *Error) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e.body())
}
