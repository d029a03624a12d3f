package operator

import (
	"fmt"

	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/control"
)

type statusAnswer struct {
	VM          string
	Incarnation string
	Ready       bool
	Fresh       bool
	Draining    bool
	// ConfigVersion is the version of the configuration as a whole.
	ConfigVersion uint64
	// SnapshotCovers is the first log offset that the last snapshot in the log does not contain.
	SnapshotCovers uint64
	// InForceOn lists the VMs known to have the configuration in force; Behind lists the others.
	InForceOn []string
	Behind    []string
	VMs       []control.PeerStatus
	Slots     map[string]int
	InDoubt   int
}

// status answers with what this VM knows of itself and of the others.
func (s *Server) status(ctx iris.Context) *Error {
	snapshot, self := s.control.Snapshot(), s.control.Self()
	answer := statusAnswer{VM: self.VM, Incarnation: self.Incarnation, Ready: snapshot.Ready, Fresh: snapshot.Fresh(s.control.Now()),
		Draining: snapshot.Draining, ConfigVersion: snapshot.State.ConfigVersion, SnapshotCovers: snapshot.State.SnapshotCovers, VMs: s.control.Peers(), Slots: map[string]int{},
		InForceOn: []string{}, Behind: []string{}, InDoubt: len(snapshot.State.Operations(catalog.PhaseBegun))}
	for _, vm := range answer.VMs {
		if vm.Next > answer.ConfigVersion {
			answer.InForceOn = append(answer.InForceOn, vm.VM)
		} else {
			answer.Behind = append(answer.Behind, vm.VM)
		}
	}
	for _, holder := range snapshot.State.Slots() {
		answer.Slots[holder.VM]++
	}
	_ = ctx.JSON(answer)
	return nil
}

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

// listOperations answers with the operations in doubt, or in another phase.
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

// settleOperation records what an operator found out about an operation in doubt.
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
		return fromControl("settle", err)
	}
	_ = ctx.JSON(writeAnswer{Version: verdict.Offset})
	return nil
}
