// Package integration tests the guarantees that hold across VMs. The router runs as separate processes, which the tests
// kill, freeze and disconnect. Stand-ins for upstreams and stores inject faults.
package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the router binary that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cassiabridge")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "cassiabridge")
	build := exec.Command("go", "build", "-o", binary, "github.com/cassiabridge/cassiabridge")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}
