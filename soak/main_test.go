package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// binary is the path of the program under test, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	ServeReplica()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "cassiabridge")
	code := 1
	if err := Build(binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}
