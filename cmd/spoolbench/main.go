// Command spoolbench measures the effect of each mechanism of the decision logic.
package main

import (
	"os"

	"github.com/spoolbank/spoolbank/cmd/spoolbench/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
