package integration

import (
	"archive/tar"
	"bytes"
	"errors"
	"flag"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// lastLanding is the commit whose build runs when an upgrade begins.
const lastLanding = "d03715c"

// upgradeFrom names another commit, to try upgrades from older landings by hand.
var upgradeFrom = flag.String("upgrade.from", lastLanding, "commit from which TestSiteUpgrade upgrades the VMs")

// buildCommit builds the router of a commit from the history of the repository, and returns the path of the binary. A test that needs a
// commit which this clone lacks is skipped.
func buildCommit(t *testing.T, commit string) string {
	t.Helper()
	if err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("NOT RUN: this clone lacks commit %s, from which the VMs are upgraded (git cat-file: %v)", commit, err)
	}
	dir := t.TempDir()
	archive := exec.Command("git", "archive", "--format=tar", commit+":")
	archive.Dir = ".."
	output, err := archive.Output()
	require.NoError(t, err, "git archive %s", commit)
	unpack(t, output, dir)
	path := filepath.Join(dir, "cassiabridge-"+commit)
	build := exec.Command("go", "build", "-o", path, ".")
	build.Dir = dir
	out, err := build.CombinedOutput()
	require.NoError(t, err, "build of %s: %s", commit, out)
	return path
}

// unpack writes the files of a tar archive into a directory, without the journal, which no build needs.
func unpack(t *testing.T, archive []byte, dir string) {
	t.Helper()
	for r := tar.NewReader(bytes.NewReader(archive)); ; {
		header, err := r.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
		first, _, _ := strings.Cut(header.Name, "/")
		if header.Typeflag != tar.TypeReg || first == "journal" || !filepath.IsLocal(header.Name) {
			continue
		}
		path := filepath.Join(dir, header.Name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		content, err := io.ReadAll(r)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, content, 0o600))
	}
}
