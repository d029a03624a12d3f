package integration

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runCommand runs the program with an operator's environment and returns its combined output and its exit code.
func (c *cluster) runCommand(args ...string) (output string, code int) {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "CASSIABRIDGE_SERVER=http://"+c.vms[0].operatorAddr, "CASSIABRIDGE_TOKEN="+operatorToken)
	data, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(data), exit.ExitCode()
	}
	return string(data), 0
}

func TestCommands(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 2, prefills: 1, decodes: 1})
	file := filepath.Join(t.TempDir(), "declarations.jsonc")
	write := func(rate string) {
		text := `{"Resources": [ // One account.
			{"Kind": "ClientAccount", "Name": "declared", "Spec": {"TokensPerSecond": ` + rate + `, "BurstTokens": 10}}]}`
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	write("5")
	steps := []struct {
		name     string
		args     []string
		code     int
		contains string
	}{
		{name: "a dry run changes nothing", args: []string{"put", "-f", file, "-dry-run"}, contains: "created (dry run)"},
		{name: "get before put", args: []string{"get", "ClientAccount/declared"}, code: 1, contains: "NotFound"},
		{name: "put", args: []string{"put", "-f", file}, contains: "created"},
		{name: "put again", args: []string{"put", "-f", file}, contains: "unchanged"},
		{name: "get", args: []string{"get", "-output", "json", "ClientAccount/declared"}, contains: `"TokensPerSecond": 5`},
		{name: "get lists the VMs that have applied it", args: []string{"get", "ClientAccount/declared"}, contains: "IN FORCE ON"},
		{name: "watch", args: []string{"watch", "-count", "1", "ClientAccount"}, contains: "ClientAccount/schools"},
		{name: "audit", args: []string{"audit", "ClientAccount/declared"}, contains: "tester"},
		{name: "key", args: []string{"key", "-account", "declared", "k"}, contains: "cb_"},
		{name: "withdraw", args: []string{"withdraw", "k"}, contains: "Logged"},
		{name: "withdraw an unknown key", args: []string{"withdraw", "no"}, code: 1, contains: "NotFound"},
		{name: "status", args: []string{"status"}, contains: "vm-1"},
		{name: "operations", args: []string{"operations"}, contains: "OPERATION"},
		{name: "settle an unknown operation", args: []string{"settle", "x", "Done"}, code: 1, contains: "NotFound"},
		{name: "delete with an outdated version", args: []string{"delete", "-expect", "1", "ClientAccount/declared"}, code: 1, contains: "Rejected"},
		{name: "delete", args: []string{"delete", "ClientAccount/declared"}, contains: "deleted"},
		{name: "wrong arguments", args: []string{"delete", "nothing"}, code: 2, contains: "KIND/NAME"},
		{name: "unknown command", args: []string{"dance"}, code: 2, contains: "does not exist"},
		{name: "help", args: []string{"put", "-h"}, contains: "Examples"},
		{name: "version", args: []string{"version"}, contains: "cassiabridge"},
		{name: "check", args: []string{"check", c.vms[0].settingsPath}, contains: "ok"},
		{name: "unreachable", args: []string{"status", "-server", "http://127.0.0.1:1"}, code: 1, contains: "Unreachable"},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			output, code := c.runCommand(s.args...)
			assert.Equal(t, s.code, code, output)
			assert.Contains(t, output, s.contains)
		})
	}
}
