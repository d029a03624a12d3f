package ledger

import (
	"context"
	"net/http"

	"github.com/cassiabridge/cassiabridge/roster"
)

// List reads the platform's list of VMs, which may be out of date.
type List struct {
	client client
}

type listAnswer struct {
	VMs []listedVM
}

type listedVM struct {
	Name             string
	PeerAddress      string
	AvailabilityZone string
	Leaving          bool
}

// NewList returns a client for the list at a base URL, and a function that closes its idle connections.
func NewList(base string) (*List, func()) {
	l := &List{client: newClient(base)}
	return l, l.client.close
}

// Read returns the listed VMs.
func (l *List) Read(ctx context.Context) ([]roster.Member, error) {
	var answer listAnswer
	if err := l.client.call(ctx, "read list", http.MethodGet, "/vms", nil, &answer); err != nil {
		return nil, err
	}
	var members []roster.Member
	for _, vm := range answer.VMs {
		members = append(members, roster.Member{VM: vm.Name, PeerAddress: vm.PeerAddress, AvailabilityZone: vm.AvailabilityZone, Leaving: vm.Leaving})
	}
	return members, nil
}
