// Command spoolbank is the command-line tool for operators.
package main

import (
	"os"

	"github.com/spoolbank/spoolbank/cmd/spoolbank/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
