package integration

import (
	"cmp"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxShownLines is the number of log lines of a process that are printed when its test fails.
const maxShownLines = 40

// process is a router process with its settings file. It can be started again after kill.
type process struct {
	name         string
	settingsPath string
	cmd          *exec.Cmd
	output       *os.File
	// stdout replaces output if it is not nil.
	stdout *os.File
	// build is the path of the binary that the process runs, or empty for that of TestMain.
	build string
}

// newProcess writes the settings file of a process without starting it.
func newProcess(t testing.TB, name string, settings map[string]any) process {
	t.Helper()
	p := process{name: name, settingsPath: filepath.Join(t.TempDir(), name+".json")}
	p.writeSettings(t, settings)
	return p
}

func (p *process) writeSettings(t testing.TB, settings map[string]any) {
	t.Helper()
	data, err := json.Marshal(settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(p.settingsPath, data, 0o600))
}

// start starts the process, which is killed when the test or the process of the tests ends. The end of its log is printed if the test fails.
func (p *process) start(t testing.TB) {
	t.Helper()
	output, err := os.CreateTemp(t.TempDir(), p.name)
	require.NoError(t, err)
	p.output = output
	p.cmd = exec.Command(cmp.Or(p.build, binary), "serve", p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if p.stdout != nil {
		p.cmd.Stdout, p.cmd.Stderr = p.stdout, p.stdout
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	cmd := p.cmd
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			lines := strings.Split(readLog(t, output), "\n")
			t.Logf("log of %s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-maxShownLines):], "\n"))
		}
	})
}

// log returns the log of the process since its last start.
func (p *process) log(t testing.TB) string {
	t.Helper()
	return readLog(t, p.output)
}

func readLog(t testing.TB, output *os.File) string {
	t.Helper()
	data, err := os.ReadFile(output.Name())
	require.NoError(t, err)
	return string(data)
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

func (p *process) kill(t testing.TB) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Kill())
	_ = p.cmd.Wait()
}

func (p *process) freeze(t testing.TB)   { p.signal(t, syscall.SIGSTOP) }
func (p *process) unfreeze(t testing.TB) { p.signal(t, syscall.SIGCONT) }

// respondsOK reports whether a GET of url is answered with 200.
func respondsOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
