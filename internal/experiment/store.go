// Package experiment compares policies of the decision logic on days that are run once
// with and once without each policy.
//
// The files: store holds the completed runs, trial lists the missing ones, compare pairs the
// days, plot draws the differences.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// storeVersion is incremented when the meaning of lines changes.
const storeVersion = 1

// Run is the result of one day under a policy.
type Run struct {
	Policy string `json:"policy"`
	Site   string `json:"site"`
	Day    string `json:"day"`
	Seed   uint64 `json:"seed"`
	// Journal is the name of the run's journal entry.
	Journal string   `json:"journal"`
	Worth   float64  `json:"worth"`
	Refused float64  `json:"refused"`
	Failed  float64  `json:"failed"`
	Prices  float64  `json:"prices"`
	Broken  []string `json:"broken,omitempty"`
}

// Key identifies a run. Runs with the same Key are of the same day under the same policy.
type Key struct {
	Policy, Site, Day string
	Seed              uint64
}

// Key returns the run's Key.
func (r Run) Key() Key { return Key{Policy: r.Policy, Site: r.Site, Day: r.Day, Seed: r.Seed} }

// header is the first line of a file.
type header struct {
	Version int    `json:"version"`
	Tree    string `json:"tree"`
}

// FileError reports a results file that can't be used. Line counts from 1.
type FileError struct {
	Path   string
	Line   int
	Reason string
}

// Error implements error.
func (e FileError) Error() string { return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Reason) }

// Store is a file of runs, one per line, all of the same tree. Use Open.
type Store struct {
	path string
	runs []Run
}

// Open reads the runs of a tree, or creates a file for them. It returns a FileError for a
// file that it can't use, and leaves that file unchanged.
func Open(path, tree string) (*Store, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		s := &Store{path: path}
		return s, s.append(header{Version: storeVersion, Tree: tree})
	}
	if err != nil {
		return nil, err
	}
	runs, found, err := parse(path, text)
	if err != nil {
		return nil, err
	}
	if found != tree {
		return nil, FileError{path, 1, fmt.Sprintf("its runs are of tree %s, and this is %s; name another file", found, tree)}
	}
	return &Store{path: path, runs: runs}, nil
}

// Read returns the runs of a file and their tree.
func Read(path string) ([]Run, string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	return parse(path, text)
}

func parse(path string, text []byte) (runs []Run, tree string, err error) {
	lines := bytes.SplitAfter(text, []byte("\n"))
	for i, line := range lines {
		if len(line) == 0 {
			continue
		}
		if !bytes.HasSuffix(line, []byte("\n")) {
			return nil, "", FileError{path, i + 1, "the line is cut off; delete it, and its day is played again"}
		}
		if i == 0 {
			var h header
			if json.Unmarshal(line, &h) != nil || h.Version != storeVersion {
				return nil, "", FileError{path, 1, fmt.Sprintf("not a results file of version %d; name another file", storeVersion)}
			}
			tree = h.Tree
			continue
		}
		var r Run
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, "", FileError{path, i + 1, err.Error()}
		}
		runs = append(runs, r)
	}
	if tree == "" {
		return nil, "", FileError{path, 1, "the file is empty; delete it"}
	}
	return runs, tree, nil
}

// Has reports whether the store has a run with the key.
func (s *Store) Has(k Key) bool {
	for _, r := range s.runs {
		if r.Key() == k {
			return true
		}
	}
	return false
}

// Add appends a run to the file.
func (s *Store) Add(r Run) error {
	s.runs = append(s.runs, r)
	return s.append(r)
}

func (s *Store) append(line any) error {
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(s.path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(append(text, '\n'))
	return errors.Join(err, f.Close())
}
