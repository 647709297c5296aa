package query_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/query"
)

func TestParseCommands(t *testing.T) {
	s, err := query.Parse(`declare target r07 address="10.0.0.7:9000" hall=nabua speed=4000.5 memory=16 slots=8 fence=true`)
	require.NoError(t, err)
	var target config.Target
	require.NoError(t, s.Declare.Decode(&target))
	require.Equal(t, config.Target{Name: "r07", Address: "10.0.0.7:9000", Hall: "nabua", Speed: 4000.5, Memory: 16, Slots: 8, Fence: true}, target)
	s, err = query.Parse(`drain vm walu-bay-1`)
	require.NoError(t, err)
	require.Equal(t, config.Ref{Kind: config.KindVM, Name: "walu-bay-1"}, *s.Drain)
	s, err = query.Parse(`show targets where slots >= 10 and state != up`)
	require.NoError(t, err)
	require.True(t, s.Show.Where[0].Meets("12"))
	require.False(t, s.Show.Where[0].Meets("9"))
	require.True(t, s.Show.Where[1].Meets("down"))
}

func TestParseErrorsNameTheColumn(t *testing.T) {
	tests := []struct{ text, want string }{
		{"", `column 1: unexpected token "<EOF>"; a statement begins with show, declare, set, remove, drain or admit`},
		{"show cats", "column 6: there is no list \"cats\"; use one of [backoffs config events leases limits models organisations pipelines quarantine replicas requests services targets unread vms]"},
		{"drain model m", "column 7: \"model\" can't stand here; use one of [target vm]"},
		{"declare target r07 hall=", "column 25: unexpected token \"<EOF>\" (expected ValueNode); `spoolbank help` shows examples"},
	}
	for _, test := range tests {
		_, err := query.Parse(test.text)
		require.EqualError(t, err, test.want, test.text)
	}
	s, err := query.Parse(`declare target r07 hal=nabua`)
	require.NoError(t, err)
	require.EqualError(t, s.Declare.Decode(&config.Target{}), `column 20: a target has no field "hal"; use one of accelerator, address, drain, fence, hall, memory, service, slots, speed`)
	s, err = query.Parse(`declare target r07 slots=many`)
	require.NoError(t, err)
	require.EqualError(t, s.Declare.Decode(&config.Target{}), `column 20: field "slots" does not take "many"; give a int`)
}

func FuzzParse(f *testing.F) {
	f.Add(`show targets where hall = "x" and slots < 3`)
	f.Add(`declare model m versions=[a, "b", [1]] layers=3`)
	f.Add(`set vm "\n" drain=true`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := query.Parse(text)
		var syntax *query.SyntaxError
		if err != nil {
			require.ErrorAs(t, err, &syntax)
			require.Positive(t, syntax.Column)
			return
		}
		if s.Declare != nil {
			_ = s.Declare.Decode(&config.Target{})
		}
	})
}
