package settings_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/settings"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.jsonc")
	require.NoError(t, err)
	require.Len(t, files, 20)
	for _, f := range files {
		_, err := settings.Load(f)
		require.NoError(t, err, f)
	}
}

const validSettings = `{
  // A comment.
  "name": "a", "hall": "h", "roles": ["entry"],
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
  "control": {"vms": {"c": "127.0.0.1:3"}},
  "tls": {"plain_text": true},
}`

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"valid", validSettings, nil},
		{"truncated", `{"name": "a",`, []string{"1:14: parsing value: unexpected EOF; settings are JSON, with comments and trailing commas"}},
		{"unknown setting and wrong types", "{\n  \"nmae\": \"a\",\n  \"limits\": {\"requests\": \"many\"},\n  \"timing\": {\"lease\": 3},\n}", []string{
			`2:11: there is no setting "nmae" here; use one of control, data, hall, limits, listen, log_level, name, platform, policy, roles, timing, tls`,
			`3:26: a string does not go here; give a int`,
			`4:23: give a duration in quotes, as in "1.5s"`,
		}},
		{"unspecified listen address", strings.Replace(validSettings, "127.0.0.1:1", "0.0.0.0:1", 1), []string{
			`4:25: "0.0.0.0:1" stands for all addresses; give the IP number that others reach this VM by`,
		}},
		{"memory limit below the minimum", strings.Replace(validSettings, `"tls"`, `"limits": {"memory_mb": 8}, "tls"`, 1), []string{
			`6:27: memory_mb is 0 for no limit, or at least 32`,
		}},
		{"silence below the minimum", strings.Replace(validSettings, `"tls"`, `"timing": {"silence": "100ms"}, "tls"`, 1), []string{
			`6:25: silence is 0s to leave it to the kernel, or at least 600ms, or connections that are only slow are left`,
		}},
		{"zero target heartbeat", strings.Replace(validSettings, `"tls"`, `"timing": {"target_heartbeat": "0s"}, "tls"`, 1), []string{
			`6:34: target_heartbeat is more than 0s`,
		}},
		{"missing settings", `{}`, []string{
			"1:1: control.vms is required; list each control VM with its address for peers",
			"1:1: hall is required; name the VM's data hall",
			"1:1: listen/peers is required; give an address as IP:PORT",
			"1:1: name is required; give the VM a name of its own",
			"1:1: roles is required; give \"control\", \"entry\" or both",
			"1:1: tls needs certificate, key and authority; or set plain_text to true to go without",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(test.text))
			var got []string
			var faults settings.Faults
			if err != nil {
				require.ErrorAs(t, err, &faults)
			}
			for _, f := range faults {
				got = append(got, f.Error())
			}
			require.Equal(t, test.want, got)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"listen": [], "limits": {"a/b~": 1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := settings.Parse(text)
		var faults settings.Faults
		if err != nil {
			require.ErrorAs(t, err, &faults)
			require.NotEmpty(t, faults)
		}
	})
}
