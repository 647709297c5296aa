package cmd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/spoolbank/spoolbank/query"
)

// applyCommand sends the statements of a file, one per line.
func (r *root) applyCommand() *ff.Command {
	var c commandFlags
	flags := ff.NewFlagSet("apply").SetParent(r.flags)
	c.add(flags)
	return &ff.Command{
		Name:      "apply",
		Usage:     "spoolbank apply [FLAGS] FILE",
		ShortHelp: "send the statements of a file, one a line, # begins a comment; - is standard input",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &exitError{exitUsage, errors.New("give one file, or - for standard input")}
			}
			return r.apply(ctx, c, args[0])
		},
	}
}

// line is one statement of a file.
type line struct {
	number int
	text   string
}

func (r *root) apply(ctx context.Context, c commandFlags, path string) error {
	lines, err := r.readLines(path)
	if err != nil {
		return err
	}
	firstNumber := c.number
	for i, l := range lines {
		if firstNumber != 0 {
			c.number = firstNumber + uint64(i)
		}
		last := i == len(lines)-1
		flags := c
		if !last {
			flags.wait = 0
		}
		if err := r.run(ctx, flags, l.text); err != nil {
			return fmt.Errorf("line %d: %w", l.number, err)
		}
	}
	return nil
}

// readLines reads and parses the whole file, so that nothing is sent if any line is invalid.
func (r *root) readLines(path string) ([]line, error) {
	input := r.stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, &exitError{exitUsage, err}
		}
		defer f.Close()
		input = f
	}
	return parseLines(input)
}

func parseLines(input io.Reader) ([]line, error) {
	var lines []line
	var faults []error
	scanner := bufio.NewScanner(input)
	for number := 1; scanner.Scan(); number++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if _, err := query.Parse(text); err != nil {
			faults = append(faults, fmt.Errorf("line %d: %w", number, err))
		}
		lines = append(lines, line{number: number, text: text})
	}
	if err := scanner.Err(); err != nil {
		faults = append(faults, err)
	}
	if len(faults) > 0 {
		return nil, &exitError{exitUsage, errors.Join(faults...)}
	}
	return lines, nil
}
