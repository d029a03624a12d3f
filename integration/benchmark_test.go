package integration

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/standin"
)

// countingWriter adds the size of response bodies to n.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

// Write adds len(p) to n and writes p to the response.
func (w countingWriter) Write(p []byte) (int, error) {
	w.n.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// Units of /proc/PID/stat on Linux.
const (
	clockTicksPerSecond = 100
	pageSize            = 4096
)

// usage returns the CPU time and the resident memory, in bytes, of the VM's process.
func (v *vm) usage(t testing.TB) (cpu time.Duration, resident int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, pages * pageSize
}

// measurementPeriod is how long BenchmarkIdleVM measures each configuration.
const measurementPeriod = 10 * time.Second

// BenchmarkIdleVM measures the mean cost of a VM without traffic for different numbers of VMs, accounts
// and upstreams: CPU time, resident memory, and the bytes exchanged with peers and received from the log. Run
// it with -benchtime 1x.
func BenchmarkIdleVM(b *testing.B) {
	for _, size := range []struct{ vms, accounts, upstreams int }{
		{3, 5, 18}, {7, 5, 18}, {14, 5, 18}, {28, 5, 18}, {56, 5, 18}, {3, 300, 18}, {3, 1300, 18}, {3, 5, 200}, {3, 5, 1000},
	} {
		b.Run(fmt.Sprintf("vms=%d/accounts=%d/upstreams=%d", size.vms, size.accounts, size.upstreams), func(b *testing.B) {
			c := newCluster(b, clusterConfig{vms: size.vms, extraResources: benchmarkResources(b, size.accounts, size.upstreams)})
			time.Sleep(2 * time.Second)
			var cpu, peerBytes, logBytes, resident float64
			before := map[*vm][3]int64{}
			for _, v := range c.vms {
				cpuTime, _ := v.usage(b)
				before[v] = [3]int64{int64(cpuTime), v.relay.bytesRead.Load(), v.logBytes.Load()}
			}
			time.Sleep(measurementPeriod)
			for _, v := range c.vms {
				cpuTime, memory := v.usage(b)
				cpu += float64(int64(cpuTime)-before[v][0]) / float64(measurementPeriod)
				peerBytes += float64(v.relay.bytesRead.Load()-before[v][1]) / measurementPeriod.Seconds()
				logBytes += float64(v.logBytes.Load()-before[v][2]) / measurementPeriod.Seconds()
				resident += float64(memory)
			}
			n := float64(size.vms)
			b.ReportMetric(100*cpu/n, "cpu-%/vm")
			b.ReportMetric(resident/n/(1<<20), "MiB/vm")
			b.ReportMetric(peerBytes/n, "peer-B/s/vm")
			b.ReportMetric(logBytes/n, "log-B/s/vm")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// benchmarkResources returns accounts, and upstreams that share one stand-in engine.
func benchmarkResources(b testing.TB, accounts, upstreams int) []resource.Document {
	addr := serve(b, standin.NewEngine(standin.EngineConfig{}).Handler())
	var docs []resource.Document
	for n := range accounts {
		docs = append(docs, document(resource.KindClientAccount, fmt.Sprint("account-", n), `{"TokensPerSecond": 1000, "BurstTokens": 5000}`))
	}
	for n := range upstreams {
		pool := "decode"
		if n%3 == 0 {
			pool = "prefill"
		}
		docs = append(docs, document(resource.KindUpstream, fmt.Sprint("engine-", n), fmt.Sprintf(`{"Pool": %q, "Address": %q}`, pool, addr)))
	}
	return docs
}

// BenchmarkPlainCall compares calls to a plain service through one VM with direct calls, and reports the VM's
// CPU time per call.
func BenchmarkPlainCall(b *testing.B) {
	c := newCluster(b, clusterConfig{vms: 1, extraResources: []resource.Document{document(resource.KindClientAccount, "large", `{"TokensPerSecond": 1e8, "BurstTokens": 1e9}`)}})
	key := c.newKey("k1", "large")
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	fetch := func(url string) {
		req, _ := http.NewRequest(http.MethodGet, url, http.NoBody)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	for name, url := range map[string]string{"direct": "http://" + c.deskAddr + "/desk/price/vinyl", "routed": "http://" + c.vms[0].callerAddr + "/desk/price/vinyl"} {
		b.Run(name, func(b *testing.B) {
			cpuBefore, _ := c.vms[0].usage(b)
			for b.Loop() {
				fetch(url)
			}
			cpuAfter, _ := c.vms[0].usage(b)
			b.ReportMetric(float64((cpuAfter-cpuBefore).Microseconds())/float64(b.N), "vm-cpu-us/op")
		})
	}
}

// BenchmarkOpenStreams measures a VM's memory per open stream and its CPU time per token. Run it with
// -benchtime 1x.
func BenchmarkOpenStreams(b *testing.B) {
	const streams, tokens = 400, 200
	slow := standin.EngineConfig{TokenGap: 40 * time.Millisecond, DecodeSlots: streams}
	c := newCluster(b, clusterConfig{vms: 1, prefills: 1, decodes: 1, decode: slow,
		extraResources: []resource.Document{document(resource.KindClientAccount, "large", `{"TokensPerSecond": 1e8, "BurstTokens": 1e9}`)}})
	key := c.newKey("k1", "large")
	cpuBefore, idleMemory := c.vms[0].usage(b)
	var calls sync.WaitGroup
	var tokenCount atomic.Int64
	start := time.Now()
	for n := range streams {
		calls.Go(func() {
			text, _ := c.sendStreamedCompletion(c.vms[0], key, fmt.Sprint("brief ", n), tokens).streamedText()
			tokenCount.Add(int64(strings.Count(text, " ")))
		})
	}
	time.Sleep(3 * time.Second)
	_, busyMemory := c.vms[0].usage(b)
	calls.Wait()
	cpuAfter, _ := c.vms[0].usage(b)
	b.ReportMetric(float64(busyMemory-idleMemory)/streams/1024, "KiB/stream")
	b.ReportMetric(float64((cpuAfter-cpuBefore).Microseconds())/float64(tokenCount.Load()), "vm-cpu-us/token")
	b.ReportMetric(float64(tokenCount.Load())/time.Since(start).Seconds(), "tokens/s")
	b.ReportMetric(0, "ns/op")
}
