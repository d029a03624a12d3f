package operator

import (
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
