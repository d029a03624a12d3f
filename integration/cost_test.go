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

// countingWriter counts the bytes of answers.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

// Write counts what it passes on.
func (w countingWriter) Write(p []byte) (int, error) {
	w.n.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

const (
	clockTicks = 100
	pageBytes  = 4096
)

// usage returns the processor time and the resident memory of a VM's process.
func (v *vm) usage(t testing.TB) (cpu time.Duration, resident int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, pages * pageBytes
}

const costWindow = 10 * time.Second

// BenchmarkControlCost measures what control costs one VM that serves nothing: processor time, memory
// and bytes received, by number of VMs, accounts and upstreams. Run it with -benchtime 1x.
func BenchmarkControlCost(b *testing.B) {
	for _, size := range []struct{ vms, accounts, upstreams int }{
		{3, 5, 18}, {7, 5, 18}, {14, 5, 18}, {28, 5, 18}, {56, 5, 18}, {3, 300, 18}, {3, 1300, 18}, {3, 5, 200}, {3, 5, 1000},
	} {
		b.Run(fmt.Sprintf("vms=%d/accounts=%d/upstreams=%d", size.vms, size.accounts, size.upstreams), func(b *testing.B) {
			c := newCluster(b, sizes{vms: size.vms, accounts: costResources(b, size.accounts, size.upstreams)})
			time.Sleep(2 * time.Second)
			var cpu, peerBytes, logBytes, resident float64
			before := map[*vm][3]int64{}
			for _, v := range c.vms {
				used, _ := v.usage(b)
				before[v] = [3]int64{int64(used), v.relay.bytes.Load(), v.logBytes.Load()}
			}
			time.Sleep(costWindow)
			for _, v := range c.vms {
				used, memory := v.usage(b)
				cpu += float64(int64(used)-before[v][0]) / float64(costWindow)
				peerBytes += float64(v.relay.bytes.Load()-before[v][1]) / costWindow.Seconds()
				logBytes += float64(v.logBytes.Load()-before[v][2]) / costWindow.Seconds()
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

// costResources declares accounts, and upstreams that share one stand-in.
func costResources(b testing.TB, accounts, upstreams int) []resource.Document {
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

// BenchmarkPlainCall measures calls to a plain service through one VM.
func BenchmarkPlainCall(b *testing.B) {
	c := newCluster(b, sizes{vms: 1, accounts: []resource.Document{document(resource.KindClientAccount, "large", `{"TokensPerSecond": 1e8, "BurstTokens": 1e9}`)}})
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
	for name, url := range map[string]string{"direct": "http://" + c.deskAddr + "/desk/price/vinyl", "routed": "http://" + c.vms[0].callers + "/desk/price/vinyl"} {
		b.Run(name, func(b *testing.B) {
			used, _ := c.vms[0].usage(b)
			for b.Loop() {
				fetch(url)
			}
			after, _ := c.vms[0].usage(b)
			b.ReportMetric(float64((after-used).Microseconds())/float64(b.N), "vm-cpu-us/op")
		})
	}
}

// BenchmarkOpenStreams measures what one open stream costs a VM in memory, and one token in processor
// time. Run it with -benchtime 1x.
func BenchmarkOpenStreams(b *testing.B) {
	const streams, tokens = 400, 200
	slow := standin.EngineConfig{TokenGap: 40 * time.Millisecond, Places: streams}
	c := newCluster(b, sizes{vms: 1, prefills: 1, decodes: 1, decode: slow,
		accounts: []resource.Document{document(resource.KindClientAccount, "large", `{"TokensPerSecond": 1e8, "BurstTokens": 1e9}`)}})
	key := c.newKey("k1", "large")
	cpuBefore, idle := c.vms[0].usage(b)
	var calls sync.WaitGroup
	var length atomic.Int64
	began := time.Now()
	for n := range streams {
		calls.Go(func() {
			text, _ := c.completeStream(c.vms[0], key, fmt.Sprint("brief ", n), tokens).streamed()
			length.Add(int64(strings.Count(text, " ")))
		})
	}
	time.Sleep(3 * time.Second)
	_, busy := c.vms[0].usage(b)
	calls.Wait()
	cpuAfter, _ := c.vms[0].usage(b)
	b.ReportMetric(float64(busy-idle)/streams/1024, "KiB/stream")
	b.ReportMetric(float64((cpuAfter-cpuBefore).Microseconds())/float64(length.Load()), "vm-cpu-us/token")
	b.ReportMetric(float64(length.Load())/time.Since(began).Seconds(), "tokens/s")
	b.ReportMetric(0, "ns/op")
}
