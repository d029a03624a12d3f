package operator

import (
	"github.com/kataras/iris/v12"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/control"
)

type statusResponse struct {
	VM          string
	Incarnation string
	Ready       bool
	Fresh       bool
	Draining    bool
	// ConfigVersion is the version of the whole configuration.
	ConfigVersion uint64
	// SnapshotCovers is the first log offset not covered by the latest snapshot in the log.
	SnapshotCovers uint64
	// InForceOn lists the VMs that are known to have applied the configuration. Behind lists the others.
	InForceOn []string
	Behind    []string
	VMs       []control.PeerStatus
	Slots     map[string]int
	InDoubt   int
}

// splitByVersion returns the VMs that are known to have applied a version, and the others.
func splitByVersion(vms []control.PeerStatus, version uint64) (inForceOn, behind []string) {
	inForceOn, behind = []string{}, []string{}
	for _, vm := range vms {
		if vm.Next > version {
			inForceOn = append(inForceOn, vm.VM)
		} else {
			behind = append(behind, vm.VM)
		}
	}
	return inForceOn, behind
}

// status responds with the status of this VM and the last known status of its peers.
func (s *Server) status(ctx iris.Context) *Error {
	snapshot, self := s.control.Snapshot(), s.control.Self()
	response := statusResponse{VM: self.VM, Incarnation: self.Incarnation, Ready: snapshot.Ready, Fresh: snapshot.Fresh(s.control.Now()),
		Draining: snapshot.Draining, ConfigVersion: snapshot.State.ConfigVersion, SnapshotCovers: snapshot.State.SnapshotCovers, VMs: s.control.Peers(), Slots: map[string]int{},
		InDoubt: len(snapshot.State.Operations(catalog.PhaseBegun))}
	response.InForceOn, response.Behind = splitByVersion(response.VMs, response.ConfigVersion)
	for _, holder := range snapshot.State.Slots() {
		response.Slots[holder.VM]++
	}
	_ = ctx.JSON(response)
	return nil
}
