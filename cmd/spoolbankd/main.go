// Command spoolbankd is the daemon of spoolbank.
package main

import (
	"os"

	"github.com/spoolbank/spoolbank/cmd/spoolbankd/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
