// Package integration tests conditions that hold across VMs: the router runs as separate processes
// that the tests kill, freeze and cut off, between stand-ins that are told to misbehave.
package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

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
