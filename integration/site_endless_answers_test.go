package integration

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// memoryLimitMB is the Memory setting of the VMs.
	memoryLimitMB = 134
	// endlessCallers is the number of callers whose requests meet a faulty replica at the same time.
	endlessCallers = 24
)

// peakMemoryMB returns the highest resident memory of a process since its start, in megabytes.
func peakMemoryMB(t *testing.T, p *process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	require.NotNil(t, found)
	kilobytes, err := strconv.Atoi(string(found[1]))
	require.NoError(t, err)
	return kilobytes >> 10
}

// TestSiteAnswerWithoutEndFillsMemory guards against replicas that send bytes without end in place of an answer, which a VM
// kept until it was out of memory.
func TestSiteAnswerWithoutEndFillsMemory(t *testing.T) {
	t.Parallel()
	scenarios := []struct {
		name, path string
		faulty     []string
		faults     standin.ReplicaFaults
		// served is whether another replica serves every request.
		served bool
	}{
		{name: "head of a service", path: "/status/a", faulty: []string{"s-0"}, faults: standin.ReplicaFaults{EndlessHead: true}, served: true},
		{name: "head of a prefill engine", path: "/check/a", faulty: []string{"p-0"}, faults: standin.ReplicaFaults{EndlessHead: true}, served: true},
		{name: "head of a decode engine", path: "/check/a", faulty: []string{"d-0"}, faults: standin.ReplicaFaults{EndlessHead: true}, served: true},
		{name: "event of a decode engine", path: "/check/a", faulty: []string{"d-0"}, faults: standin.ReplicaFaults{EndlessEvent: true}, served: true},
		{name: "event of all decode engines", path: "/check/a", faulty: []string{"d-0", "d-1"}, faults: standin.ReplicaFaults{EndlessEvent: true}},
		{name: "head of all decode engines", path: "/review/a", faulty: []string{"d-0", "d-1"}, faults: standin.ReplicaFaults{EndlessHead: true}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newSite(t, 1)
			v := s.vms[0]
			for _, id := range scenario.faulty {
				s.replicas[id].SetFaults(scenario.faults)
			}
			var callers sync.WaitGroup
			for range endlessCallers {
				callers.Go(func() {
					r := streamRequest(scenario.path)
					r.timeout = 3 * time.Second
					// One engine has room for all of them.
					r.header[standin.HeaderTokens] = "200,100"
					a := s.send(v, r)
					if scenario.served {
						assert.Equal(t, http.StatusOK, a.status)
						assert.True(t, a.complete, a.err)
					}
				})
			}
			callers.Wait()
			assert.Less(t, peakMemoryMB(t, &v.process), memoryLimitMB)
			assert.Equal(t, http.StatusOK, s.send(v, siteRequest{path: "/status/b"}).status, "the VM still serves")
		})
	}
}
