package core_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their result is reproducible.
// Set -rapid.seed for other histories.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
