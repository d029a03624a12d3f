package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testSite = `
machines = [{ class = "front", count = 2, spare = 1 }, { class = "front", count = 1 }]
services = [
  { name = "notes-model", servers = [{ zone = "a", count = 4 }, { zone = "b", count = 2 }], slots = 8, conn_cap = 50, llm = { prefill = 0.35, stride = 7, kv_tokens = 1000 } },
  { name = "desk", servers = [{ zone = "a", count = 2 }], slots = 6, conn_cap = 40 },
]
classes = [
  { name = "notes", service = "notes-model", method = "POST", kind = "stream", timeout_ms = 14000, attempts = 2, stream = { pieces = { mean = 70.0, spread = 0.5, max = 130.0 }, piece_bytes = { mean = 340.0, max = 2000.0 }, resume = true } },
  { name = "send", service = "desk", method = "POST", kind = "unsafe", timeout_ms = 800.5, attempts = 1, resp_bytes = { mean = 800.0, spread = 0.5, max = 4800.0 } },
  { name = "look", service = "desk", method = "GET", kind = "safe", timeout_ms = 800, attempts = 2, resp_bytes = { mean = 800.0, max = 4800.0 } },
]
traffic = [{ zone = "a", mix = { notes = 2.0, send = 5.5 } }, { zone = "b", mix = { notes = 2.0 } }]
`

// withTestSite returns the options of a site file with the given text.
func withTestSite(t *testing.T, text string) (Options, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Options{Callers: 12}.WithSite(path)
}

func TestSiteFileFixesTheLayout(t *testing.T) {
	opts, err := withTestSite(t, testSite)
	require.NoError(t, err)
	assert.Equal(t, 3, opts.VMs)
	assert.Equal(t, 8, opts.Replicas)
	model, desk := place{"notes-model", "decode"}, place{"desk", ""}
	assert.Equal(t, []place{{"notes-model", "prefill"}, {"notes-model", "prefill"}, model, model, model, model, desk, desk}, opts.layout.places)
	assert.Equal(t, service{Name: "notes-model", Slots: 8, MaxConnections: 50, CapacityTokens: 1000, Stride: 7}, opts.layout.services[0])
	notes, send := opts.layout.requests[0], opts.layout.requests[1]
	assert.Equal(t, request{prefix: "/notes/", service: "notes-model", method: "POST", kind: streaming, resumable: true, attempts: 2, timeout: 14 * time.Second,
		share: 4, pieces: distribution{Mean: 70, Spread: 0.5, Max: 130}, pieceBytes: distribution{Mean: 340, Max: 2000}}, notes)
	assert.Equal(t, nonIdempotent, send.kind)
	assert.Equal(t, 800500*time.Microsecond, send.timeout)
	assert.Equal(t, idempotent, opts.layout.requests[2].kind)
}

func TestSiteFileWithAnUnknownKindIsRefused(t *testing.T) {
	_, err := withTestSite(t, `classes = [{ name = "notes", kind = "odd" }]`)
	var soakErr *Error
	assert.ErrorAs(t, err, &soakErr)
}

func TestRequestsAreDrawnByTheirShares(t *testing.T) {
	opts, err := withTestSite(t, testSite)
	require.NoError(t, err)
	counts := map[string]int{}
	rng := newRand(1, "test")
	for range 1000 {
		r := opts.layout.drawRequest(rng)
		counts[r.prefix]++
		assert.LessOrEqual(t, r.pieces.draw(rng), 130)
	}
	assert.InDelta(t, 421, counts["/notes/"], 60)
	assert.InDelta(t, 579, counts["/send/"], 60)
	assert.Zero(t, counts["/look/"])
}

// TestAnswersOfASiteStayWhole guards against plain answers and streams of a site file that reach callers cut or changed.
func TestAnswersOfASiteStayWhole(t *testing.T) {
	opts, err := withTestSite(t, testSite)
	require.NoError(t, err)
	opts.Seed, opts.Duration, opts.Binaries, opts.Dir, opts.Out = 4, 6*time.Second, []string{binary}, t.TempDir(), os.Stdout
	opts.Faults = Kinds{Network, VMs}
	report, err := Run(t.Context(), opts)
	require.NoError(t, err)
	assert.Empty(t, report.Breaches)
	assert.Positive(t, report.Completed)
	assert.Positive(t, report.Plain)
}
