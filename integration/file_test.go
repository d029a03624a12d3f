package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/standin"
)

// fileSite is a set of VMs that read their declarations from a file, without a store.
type fileSite struct {
	t            testing.TB
	path         string
	replicas     map[string]*standin.Replica
	declarations map[string]any
	vms          []*gatewayVM
}

func newFileSite(t *testing.T, vms int) *fileSite {
	t.Helper()
	s := &fileSite{t: t, path: filepath.Join(t.TempDir(), "declarations.jsonc"), replicas: map[string]*standin.Replica{}}
	addresses := map[string]string{}
	upstream := func(id, stage string) map[string]any {
		replica := standin.NewReplica(standin.ReplicaConfig{ID: id, Stage: strings.ToLower(stage), WorkDuration: time.Millisecond, Events: 20, MemoryTokens: 76160, NativeProtocol: true})
		s.replicas[id] = replica
		addresses[id] = serve(t, replica.Handler(func(source string) bool {
			address, handle, _ := strings.Cut(source, "/")
			for other, p := range s.replicas {
				if addresses[other] == address {
					return p.TakeResult(handle)
				}
			}
			return false
		}))
		return map[string]any{"Name": id, "Address": addresses[id], "AvailabilityZone": "zone-a", "Stage": stage, "Slots": 6}
	}
	route := func(name, kind, pool string) map[string]any {
		return map[string]any{"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "MaxAttempts": 2, "TimeoutMillis": 4000, "LatencyTargetMillis": 900,
			"Pools": []any{map[string]any{"Pool": pool}}}
	}
	var peers []any
	for n := range vms {
		v := &gatewayVM{callers: freeAddr(t), readiness: freeAddr(t), metrics: freeAddr(t)}
		address := freeAddr(t)
		peers = append(peers, map[string]any{"Name": fmt.Sprint("vm-", n), "Address": address})
		v.process = newProcess(t, fmt.Sprint("vm-", n), map[string]any{
			"VM": fmt.Sprint("vm-", n), "AvailabilityZone": "zone-a", "Gateway": map[string]any{"File": s.path},
			"Listen": map[string]any{"Callers": v.callers, "Readiness": v.readiness, "Metrics": v.metrics, "Peers": address},
		})
		s.vms = append(s.vms, v)
	}
	s.declarations = map[string]any{
		"Version": 1, "VMs": peers,
		"Routes": []any{route("notes", "Stream", "engines"), route("release", "AtMostOnce", "desk"), route("status", "Idempotent", "desk")},
		"Pools": []any{
			map[string]any{"Name": "engines", "Engine": map[string]any{"MaxRunning": 48, "MemoryTokens": 76160, "RetainMillis": 500},
				"Upstreams": []any{upstream("p-0", "Prefill"), upstream("d-0", "Decode")}},
			map[string]any{"Name": "desk", "Upstreams": []any{upstream("s-0", ""), upstream("s-1", "")}},
		},
		"Accounts": []any{map[string]any{"Name": "schools", "KeyHashes": []string{resource.HashSecret(schoolsKey)}, "TokensPerSecond": 2000, "BurstTokens": 40000, "PlainTokens": 200}},
	}
	s.write()
	for _, v := range s.vms {
		v.start(t)
		s.eventually(v.name+" is ready", func() bool { return respondsOK("http://" + v.readiness + "/readyz") })
	}
	return s
}

func (s *fileSite) write() {
	data, err := json.Marshal(s.declarations)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(s.path, append([]byte("// Written by a test.\n"), data...), 0o600))
}

func (s *fileSite) eventually(what string, holds func() bool) {
	s.t.Helper()
	require.Eventually(s.t, holds, 10*time.Second, 10*time.Millisecond, what)
}

func (s *fileSite) call(v *gatewayVM, method, path, attempt string) response {
	return call(method, "http://"+v.callers+path, schoolsKey, "a prompt", func(r *http.Request) {
		r.Host = host
		r.Header.Set(standin.NativeHeaderAttempt, attempt)
		r.Header.Set(standin.NativeHeaderTokens, "1000,200")
	})
}

func TestGatewayWithDeclarationsFile(t *testing.T) {
	t.Parallel()
	s := newFileSite(t, 2)
	t.Run("each kind of route", func(t *testing.T) {
		for _, v := range s.vms {
			a := s.call(v, http.MethodPost, "/notes/a", "n-"+v.name)
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.Equal(t, streamBody("n-"+v.name, 20), a.body)
			a = s.call(v, http.MethodPost, "/release/a", "r-"+v.name)
			assert.Equal(t, standin.ServiceAnswer("r-"+v.name), a.body)
		}
		assert.Zero(t, s.replicas["p-0"].HeldResults(), "all prefill results were fetched")
		for _, run := range s.replicas["s-0"].Runs() {
			assert.Equal(t, "schools", run.Header.Get(standin.NativeHeaderAccount))
			assert.NotContains(t, fmt.Sprint(run.Header), schoolsKey)
		}
	})
	t.Run("SIGHUP reloads the file, and a leaving upstream gets no requests", func(t *testing.T) {
		desk := s.declarations["Pools"].([]any)[1].(map[string]any)["Upstreams"].([]any)
		desk[0].(map[string]any)["Leaving"] = true
		s.declarations["Version"] = 2
		s.write()
		for _, v := range s.vms {
			v.signal(t, syscall.SIGHUP)
			s.eventually("version 2 is in force", func() bool { return strings.Contains(v.log(t), "declarations-in-force VM="+v.name+" Version=2") })
		}
		before := len(s.replicas["s-0"].Runs())
		for n := range 10 {
			assert.Equal(t, http.StatusOK, s.call(s.vms[0], http.MethodGet, "/status/a", fmt.Sprint("s-", n)).status)
		}
		assert.Len(t, s.replicas["s-0"].Runs(), before)
	})
	t.Run("invalid file is ignored", func(t *testing.T) {
		require.NoError(t, os.WriteFile(s.path, []byte(`{"Version": 3, "Roots": []}`), 0o600))
		v := s.vms[0]
		v.signal(t, syscall.SIGHUP)
		s.eventually("the failure is logged", func() bool { return strings.Contains(v.log(t), "settings-not-reloaded") })
		assert.Equal(t, http.StatusOK, s.call(v, http.MethodGet, "/status/a", "after").status)
	})
	t.Run("both VMs enforce the account's rate", func(t *testing.T) {
		s.eventually("both VMs refuse requests over the account's rate", func() bool {
			refused := 0
			for n, v := range s.vms {
				if s.call(v, http.MethodGet, "/status/a", fmt.Sprint("q-", n)).status == http.StatusTooManyRequests {
					refused++
				}
			}
			return refused == len(s.vms)
		})
	})
}
