package operator

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/control"
)

// Error reports a failed operator request.
type Error struct {
	Op string
	// Kind is returned to operators as the error type.
	Kind   string
	Status int
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errorBody is the JSON form of an Error.
type errorBody struct {
	Kind    string
	Message string
}

func badRequest(op string, err error) *Error {
	return &Error{Op: op, Kind: "Invalid", Status: http.StatusBadRequest, Err: err}
}

func notFound(op, what string) *Error {
	return &Error{Op: op, Kind: "NotFound", Status: http.StatusNotFound, Err: fmt.Errorf("%s does not exist", what)}
}

// translateControlError converts an error of package control to an Error.
func translateControlError(op string, err error) *Error {
	var controlErr *control.Error
	if !errors.As(err, &controlErr) {
		return &Error{Op: op, Kind: "Failed", Status: http.StatusInternalServerError, Err: err}
	}
	status := map[control.ErrorKind]int{
		control.ErrRejected: http.StatusConflict, control.ErrUnknown: http.StatusGatewayTimeout,
		control.ErrUnavailable: http.StatusServiceUnavailable, control.ErrNotReady: http.StatusServiceUnavailable,
	}[controlErr.Kind]
	if status == 0 {
		status = http.StatusInternalServerError
	}
	return &Error{Op: op, Kind: string(controlErr.Kind), Status: status, Err: controlErr.Err}
}

func (e *Error) write(ctx iris.Context) {
	ctx.StatusCode(e.Status)
	_ = ctx.JSON(errorBody{Kind: e.Kind, Message: e.Err.Error()})
}
