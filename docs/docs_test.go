package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	named    = regexp.MustCompile("`(Test[A-Z][A-Za-z0-9]*)`")
	declared = regexp.MustCompile(`(?m)^func (Test[A-Z][A-Za-z0-9]*)\(`)
)

// The pages name tests as proofs: one that is gone proves nothing.
func TestPagesNameTestsThatStand(t *testing.T) {
	stand := matches(t, "..", "_test.go", declared)
	for test, page := range matches(t, ".", ".md", named) {
		require.Contains(t, stand, test, "%s names it", page)
	}
}

// matches returns what an expression finds in files below a folder, each with a file that has it.
func matches(t *testing.T, folder, suffix string, e *regexp.Regexp) map[string]string {
	t.Helper()
	found := make(map[string]string)
	require.NoError(t, filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, suffix) {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range e.FindAllSubmatch(text, -1) {
			found[string(match[1])] = path
		}
		return err
	}))
	return found
}
