package cmd_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	spoolbank "github.com/spoolbank/spoolbank/cmd/spoolbank/cmd"
	spoolbankd "github.com/spoolbank/spoolbank/cmd/spoolbankd/cmd"
	spoolbench "github.com/spoolbank/spoolbank/cmd/spoolbench/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"spoolbank":  func() { os.Exit(spoolbank.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
		"spoolbench": func() { os.Exit(spoolbench.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"spoolbankd": func() { os.Exit(spoolbankd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
