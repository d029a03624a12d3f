package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hangupMask is the bit of SIGHUP in the signal masks of /proc.
const hangupMask = 1 << (syscall.SIGHUP - 1)

// signalMask returns one of the signal masks of a process, such as SigIgn, or 0 if the process has ended.
func signalMask(p *process, name string) uint64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	found := regexp.MustCompile(name + `:\s+([0-9a-f]+)`).FindSubmatch(status)
	if found == nil {
		return 0
	}
	mask, err := strconv.ParseUint(string(found[1]), 16, 64)
	if err != nil {
		return 0
	}
	return mask
}

// writePipe writes data to a named pipe, which must have a reader.
func writePipe(t *testing.T, path string, data []byte) {
	t.Helper()
	var pipe *os.File
	require.Eventually(t, func() bool {
		var err error
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond, "a process reads %s", path)
	_, err := pipe.Write(data)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
}

// TestSiteReloadCloseBehindTheStartEndsTheVM guards against a SIGHUP that ends a process which has not registered its handler
// yet.
func TestSiteReloadCloseBehindTheStartEndsTheVM(t *testing.T) {
	t.Parallel()
	t.Run("before the settings are read", func(t *testing.T) {
		s := newSite(t, 0)
		v := s.newVM("vm-0")
		settings, err := os.ReadFile(v.settingsPath)
		require.NoError(t, err)
		v.settingsPath = filepath.Join(t.TempDir(), "settings.fifo")
		require.NoError(t, syscall.Mkfifo(v.settingsPath, 0o600))
		s.start(v)
		s.eventually(10*time.Second, "SIGHUP has its handler", func() bool { return signalMask(&v.process, "SigCgt")&hangupMask != 0 })
		v.signal(t, syscall.SIGHUP)
		writePipe(t, v.settingsPath, settings)
		s.eventually(5*time.Second, "the VM has started", func() bool { return len(s.logLines(v, "Event=started")) == 1 })
		// The reload reads the settings again.
		writePipe(t, v.settingsPath, settings)
		s.awaitServing(v)
		s.eventually(2*time.Second, "the reload is logged", func() bool { return len(s.logLines(v, "settings-reloaded")) == 1 })
	})
	t.Run("before the runtime has started", func(t *testing.T) {
		s := newSite(t, 0)
		const starts = 10
		ignored := 0
		for n := range starts {
			v := s.newVM(fmt.Sprint("vm-", n))
			s.start(v)
			until := time.Now().Add(10 * time.Second)
			for time.Now().Before(until) && signalMask(&v.process, "SigCgt")&hangupMask == 0 {
				if signalMask(&v.process, "SigIgn")&hangupMask != 0 {
					ignored++
					break
				}
			}
			s.kill(v)
		}
		assert.NotZero(t, ignored, "SIGHUP is ignored until its handler is registered")
	})
}
