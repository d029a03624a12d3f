package integration

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newPipedVM starts a VM whose output goes to a pipe, and returns the ends of the pipe.
func newPipedVM(t *testing.T, s *site) (v *gatewayVM, read, write *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { read.Close(); write.Close() })
	v = s.newVM("vm-piped")
	v.stdout = write
	s.start(v)
	return v, read, write
}

// TestSiteReaderOfTheLogEndsTheVM guards against a log collector that goes away and takes the process with it, by SIGPIPE.
func TestSiteReaderOfTheLogEndsTheVM(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	v, read, write := newPipedVM(t, s)
	s.awaitServing(v)
	require.NoError(t, read.Close())
	require.NoError(t, write.Close())
	for range 5 {
		assert.Equal(t, http.StatusOK, s.send(v, siteRequest{path: "/status/a"}).status)
		time.Sleep(100 * time.Millisecond)
	}
	s.eventually(2*time.Second, "the lost lines are counted", func() bool { return s.metric(v, "cassiabridge_log_lines_dropped_total") > 0 })
}
