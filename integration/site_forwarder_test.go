package integration

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// startForwarder starts a forwarder before a VM, which ends a connection in an orderly way however the other half of it ends, and returns
// the VM as callers see it.
func (s *site) startForwarder(v *gatewayVM) *gatewayVM {
	listener := listen(s.t)
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go forward(caller, v.callers)
		}
	}()
	return &gatewayVM{callers: listener.Addr().String()}
}

// forward copies both directions of a connection until one has ended.
func forward(caller net.Conn, addr string) {
	defer caller.Close()
	vm, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer vm.Close()
	go func() { _, _ = io.Copy(vm, caller) }()
	_, _ = io.Copy(caller, vm)
}

// TestSiteForwarderCompletesAnAnswer guards against an answer without framing that is cut and looks complete, because a forwarder between
// caller and VM turns its reset into an orderly end.
func TestSiteForwarderCompletesAnAnswer(t *testing.T) {
	t.Parallel()
	t.Run("whole", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, 1)
		s.setAllFaults(standin.ReplicaFaults{Unframed: true})
		forwarder := s.startForwarder(s.vms[0])
		for _, path := range []string{"/review/a", "/check/a"} {
			a := s.sendRaw(forwarder, rawRequest{protocol: "HTTP/1.1", method: http.MethodPost, path: path})
			assertResponse(t, a, streamBody(a.attempt, 20))
			assert.False(t, a.closeConn, "the end is named")
		}
	})
	for name, kind := range mortalKinds() {
		t.Run("killed replica, "+name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			s.startMortalOnly(kind, (*mortalReplica).restartUnderSameID)
			forwarder := s.startForwarder(s.vms[0])
			a := s.sendRaw(forwarder, rawRequest{protocol: "HTTP/1.1", method: cmp.Or(kind.request.method, http.MethodGet), path: kind.request.path})
			assert.False(t, a.status == http.StatusOK && a.complete, "the answer is not whole: %q", a.body)
		})
	}
	t.Run("killed VM", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, 1)
		s.setAllFaults(standin.ReplicaFaults{Unframed: true})
		a := s.sendRaw(s.startForwarder(s.vms[0]), rawRequest{protocol: "HTTP/1.1", method: http.MethodPost, path: "/review/a", onHeader: func() { s.kill(s.vms[0]) }})
		assertBroken(t, a)
	})
}
