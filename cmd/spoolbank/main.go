// Command spoolbank is the operators' tool of spoolbank.
package main

import (
	"os"

	"github.com/spoolbank/spoolbank/cmd/spoolbank/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
