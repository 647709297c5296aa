package experiment_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/experiment"
)

func run(policy, day string, worth float64) experiment.Run {
	return experiment.Run{Policy: policy, Site: "site", Day: day, Worth: worth}
}

func TestStoreIsResumed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.jsonl")
	s, err := experiment.Open(path, "tree")
	require.NoError(t, err)
	require.NoError(t, s.Add(run("", "d1", 0.5)))
	s, err = experiment.Open(path, "tree")
	require.NoError(t, err)
	trials := experiment.Trials([]string{"x=off"}, []string{"site"}, []string{"d1", "d2"}, []uint64{0}, s)
	require.Equal(t, []experiment.Trial{{Site: "site", Day: "d2"}, {Policy: "x=off", Site: "site", Day: "d1"}, {Policy: "x=off", Site: "site", Day: "d2"}}, trials)
}

func TestStoreRejectsUnusableFiles(t *testing.T) {
	good := "{\"version\":1,\"tree\":\"tree\"}\n"
	tests := []struct{ name, text, want string }{
		{"another tree", "{\"version\":1,\"tree\":\"old\"}\n", "r.jsonl:1: its runs are of tree old, and this is tree; name another file"},
		{"another version", "{\"version\":9}\n", "r.jsonl:1: not a results file of version 1; name another file"},
		{"cut off", good + "{\"policy\":", "r.jsonl:2: the line is cut off; delete it, and its day is played again"},
		{"garbage", good + "{]\n", "r.jsonl:2: invalid character ']' looking for beginning of object key string"},
		{"empty", "", "r.jsonl:1: the file is empty; delete it"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			require.NoError(t, os.WriteFile("r.jsonl", []byte(test.text), 0o600))
			_, err := experiment.Open("r.jsonl", "tree")
			require.EqualError(t, err, test.want)
			kept, err := os.ReadFile("r.jsonl")
			require.NoError(t, err)
			require.Equal(t, test.text, string(kept), "the file was changed")
		})
	}
}

func TestComparisonsArePaired(t *testing.T) {
	var runs []experiment.Run
	for i := range 10 {
		day := fmt.Sprint("d", i)
		easy := float64(i) / 10
		runs = append(runs, run("", day, easy), run("harm=off", day, easy+0.1), run("help=off", day, easy-0.1+0.001*float64(i%3)), run("none=off", day, easy+0.02*float64(i%2*2-1)))
	}
	runs = append(runs, run("none=off", "no base", 1))
	got := experiment.Compare(runs)
	require.Len(t, got, 3)
	require.InDelta(t, 0.1, got[0].Difference, 1e-9)
	require.False(t, got[0].WithinSpread())
	require.False(t, got[1].WithinSpread())
	require.True(t, got[2].WithinSpread())
	require.Equal(t, 10, got[2].Days)
	require.Less(t, got[2].Low, 0.0)
	require.Greater(t, got[2].High, 0.0)

	var table bytes.Buffer
	require.NoError(t, experiment.WriteTable(&table, got))
	require.Contains(t, table.String(), "the mechanism harms")
	require.Contains(t, table.String(), "the mechanism helps")
	require.Contains(t, table.String(), "within the spread")
	plot := filepath.Join(t.TempDir(), "p.svg")
	require.NoError(t, experiment.Plot(plot, got))
	text, err := os.ReadFile(plot)
	require.NoError(t, err)
	require.Contains(t, string(text), "help=off")
}
