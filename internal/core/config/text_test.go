package config_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// routes returns a document text of n routes, of which the one at changed differs.
func routes(n, changed int) config.Text {
	var b bytes.Buffer
	for i := range n {
		timeout := 20000
		if i == changed {
			timeout = 17000
		}
		fmt.Fprintf(&b, `{"Name":"r-%x","Host":"h%d.example","PathPrefix":"/p%d/","TimeoutMs":%d,"WeightedServices":[{"Service":"s","Weight":90}]},`, i*7919, i%17, i, timeout)
	}
	return b.Bytes()
}

func TestTextIsStoredCompressed(t *testing.T) {
	text := routes(1900, 5)
	packed, err := text.MarshalBinary()
	require.NoError(t, err)
	require.Less(t, len(packed), len(text)/5)
	var again config.Text
	require.NoError(t, again.UnmarshalBinary(packed))
	require.Equal(t, text, again)
	require.ErrorIs(t, again.UnmarshalBinary([]byte("garbage")), config.ErrText)
}

// Guards against sending the whole text, 60 KB, to each of 300 VMs for a change of one route
// of 1,900.
func TestOneRouteChangeMakesSmallPatch(t *testing.T) {
	before := config.Document{Version: 3, Source: routes(1900, -1)}
	after := config.Document{Version: 9, Source: routes(1900, 1200)}
	change := before.Change(after)
	require.NotNil(t, change.Patch)
	require.Less(t, len(change.Patch.Patch), 2<<10)
	got, err := before.Patched(*change.Patch)
	require.NoError(t, err)
	require.Equal(t, after, got)

	_, err = after.Patched(*change.Patch)
	require.Error(t, err, "the patch is for another version")
	_, err = config.Document{Version: 3, Source: routes(1900, 7)}.Patched(*change.Patch)
	if err == nil {
		t.Log("zstd does not verify raw dictionaries: only the version check protects a text")
	}
}

func TestStateAppliesPatches(t *testing.T) {
	first := config.Document{Version: 1, Source: routes(100, -1)}
	second := config.Document{Version: 5, Source: routes(100, 4)}
	s, err := config.State{}.Apply(1, []config.Change{(config.Document{}).Change(first)})
	require.NoError(t, err)
	change := first.Change(second)
	next, err := s.Apply(2, []config.Change{change})
	require.NoError(t, err)
	require.Equal(t, second, next.Document)
	_, err = next.Apply(3, []config.Change{change})
	require.Error(t, err)
}
