package operator

import (
	"fmt"

	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/catalog"
)

type operationList struct {
	Operations []operationStatus
}

type operationStatus struct {
	Operation string
	Attempt   int
	Phase     catalog.Phase
	Writer    string
	BegunAt   string
}

// listOperations lists the operations in the given phase, by default those that have begun but not ended.
func (s *Server) listOperations(ctx iris.Context) *Error {
	phase := catalog.Phase(ctx.URLParamDefault("Phase", string(catalog.PhaseBegun)))
	list := operationList{Operations: []operationStatus{}}
	for _, op := range s.control.Snapshot().State.Operations(phase) {
		list.Operations = append(list.Operations, operationStatus{Operation: op.Operation, Attempt: op.Attempt, Phase: op.Phase,
			Writer: op.Writer.VM, BegunAt: op.BegunAt.Format("2006-01-02T15:04:05.000Z07:00")})
	}
	_ = ctx.JSON(list)
	return nil
}

type settleRequest struct {
	Operation string
	Outcome   catalog.Outcome
	Answer    catalog.Answer
}

// settleOperation records the outcome of an operation in doubt as determined by an operator.
func (s *Server) settleOperation(ctx iris.Context) *Error {
	var request settleRequest
	if err := ctx.ReadJSON(&request); err != nil {
		return badRequest("parse body", err)
	}
	if request.Outcome != catalog.OutcomeDone && request.Outcome != catalog.OutcomeNotRun {
		return badRequest("settle", fmt.Errorf("Outcome is %q, not Done or NotRun", request.Outcome))
	}
	op, exists := s.control.Snapshot().State.Operation(request.Operation)
	if !exists {
		return notFound("settle", fmt.Sprintf("operation %q", request.Operation))
	}
	end := catalog.End{Operation: op.Operation, Attempt: op.Attempt, Outcome: request.Outcome, Answer: request.Answer, Settler: actor(ctx)}
	verdict, err := s.control.Append(requestContext(ctx), catalog.Record{Actor: actor(ctx), End: &end})
	if err != nil {
		return translateControlError("settle", err)
	}
	_ = ctx.JSON(writeResponse{Version: verdict.Offset})
	return nil
}
