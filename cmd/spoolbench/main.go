// Command spoolbench says what each mechanism of the decision logic is worth.
package main

import (
	"os"

	"github.com/spoolbank/spoolbank/cmd/spoolbench/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
