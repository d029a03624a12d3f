package integration

import (
	"net/http"
	"os"
	"syscall"
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

// TestSiteFullLogKeepsTheVMFromStopping guards against a stop that waits for ever for the reader of the log.
func TestSiteFullLogKeepsTheVMFromStopping(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.graceMillis = stopGraceMillis
	v, _, write := newPipedVM(t, s)
	s.awaitServing(v)
	fillPipe(t, write)
	for range 5 {
		assert.Equal(t, http.StatusOK, s.send(v, siteRequest{path: "/status/a"}).status, "the VM serves though nobody reads its log")
	}
	v.signal(t, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- v.cmd.Wait() }()
	select {
	case err := <-ended:
		assert.NoError(t, err)
	case <-time.After(stopGraceMillis * time.Millisecond):
		assert.Fail(t, "the VM is still there at the end of its grace")
	}
}

// fillPipe writes to a pipe until it takes nothing more.
func fillPipe(t *testing.T, write *os.File) {
	t.Helper()
	// The process shares the mode of the pipe, so it is set back.
	fd := int(write.Fd())
	require.NoError(t, syscall.SetNonblock(fd, true))
	defer func() { require.NoError(t, syscall.SetNonblock(fd, false)) }()
	var err error
	for err == nil {
		_, err = syscall.Write(fd, []byte("x\n"))
	}
	require.ErrorIs(t, err, syscall.EAGAIN)
}
