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
	citedTest    = regexp.MustCompile("`(Test[A-Z][A-Za-z0-9]*)`")
	declaredTest = regexp.MustCompile(`(?m)^func (Test[A-Z][A-Za-z0-9]*)\(`)
)

// The pages cite tests as evidence, so each cited test must exist.
func TestPagesNameExistingTests(t *testing.T) {
	existing := findAll(t, "..", "_test.go", declaredTest)
	for test, page := range findAll(t, ".", ".md", citedTest) {
		require.Contains(t, existing, test, "%s names it", page)
	}
}

// findAll returns the first submatches of an expression in files below a folder, each with a
// file that contains it.
func findAll(t *testing.T, folder, suffix string, e *regexp.Regexp) map[string]string {
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
