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

// inForce tells the VMs that are known to have folded a version from the others.
func inForce(vms []control.PeerStatus, version uint64) (on, behind []string) {
	on, behind = []string{}, []string{}
	for _, vm := range vms {
		if vm.Next > version {
			on = append(on, vm.VM)
		} else {
			behind = append(behind, vm.VM)
		}
	}
	return on, behind
}

// status answers with what this VM knows of itself and of the others.
func (s *Server) status(ctx iris.Context) *Error {
	snapshot, self := s.control.Snapshot(), s.control.Self()
	answer := statusAnswer{VM: self.VM, Incarnation: self.Incarnation, Ready: snapshot.Ready, Fresh: snapshot.Fresh(s.control.Now()),
		Draining: snapshot.Draining, ConfigVersion: snapshot.State.ConfigVersion, SnapshotCovers: snapshot.State.SnapshotCovers, VMs: s.control.Peers(), Slots: map[string]int{},
		InDoubt: len(snapshot.State.Operations(catalog.PhaseBegun))}
	answer.InForceOn, answer.Behind = inForce(answer.VMs, answer.ConfigVersion)
	for _, holder := range snapshot.State.Slots() {
		answer.Slots[holder.VM]++
	}
	_ = ctx.JSON(answer)
	return nil
}
