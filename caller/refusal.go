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

// Run says whether a refused request has run.
type Run string

// Whether a request has run.
const (
	NotRun  Run = "not_run"
	InDoubt Run = "unknown"
	Ran     Run = "ran"
)

// Error reports a request that is refused or failed. It is what callers see.
type Error struct {
	// Op is what was being done, and Kind is the type that callers see.
	Op         string
	Kind       string
	Status     int
	Run        Run
	RetryAfter time.Duration
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func refuse(op string, status int, kind, message string) *Error {
	return &Error{Op: op, Kind: kind, Status: status, Run: NotRun, Err: errors.New(message)}
}

// withRetryAfter returns the refusal with the time after which to try again.
func (e *Error) withRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

func inDoubt(op, message string) *Error {
	return &Error{Op: op, Kind: "in_doubt", Status: http.StatusConflict, Run: InDoubt, RetryAfter: time.Second, Err: errors.New(message)}
}

func notReady(op string) *Error {
	return refuse(op, http.StatusServiceUnavailable, "not_ready", "this VM does not hold a fresh configuration").withRetryAfter(time.Second)
}

// fromControl translates an error of the control state.
func fromControl(op string, err error) *Error {
	var controlErr *control.Error
	if !errors.As(err, &controlErr) {
		return refuse(op, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
	switch controlErr.Kind {
	case control.ErrOverRate:
		return refuse(op, http.StatusTooManyRequests, "rate_limit_exceeded", controlErr.Err.Error()).withRetryAfter(controlErr.RetryAfter)
	case control.ErrTooLarge:
		return refuse(op, http.StatusBadRequest, "request_too_large", controlErr.Err.Error())
	}
	return refuse(op, http.StatusServiceUnavailable, "unavailable", controlErr.Err.Error()).withRetryAfter(time.Second)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Run          Run    `json:"run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
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
