package plan_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random inputs, so that runs are reproducible.
// Set -rapid.seed for others.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
