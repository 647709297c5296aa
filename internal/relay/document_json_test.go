package relay_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// Operators give `spoolbank bound` a cost model under these names. A renamed field would be
// ignored without an error, and the capacity would be computed without it.
func TestCostModelKeepsItsNamesInFleetFiles(t *testing.T) {
	const text = `{"Slots": 1, "Model": "m", "Layers": 1, "LayerBytes": 1, "TokenBytes": 1,
		"StepBase": 1, "StepPerRequest": 1, "StepPerKilotoken": 1, "ReadPerSecond": 1, "Chunk": 1,
		"Stride": 1, "Load": 1, "LoadsAtOnce": 1, "HandOnBytes": 1, "PipeBits": 1, "UsualPrompt": 1,
		"UsualAnswer": 1, "Accelerators": [{"Name": "k", "Bytes": 1, "Pace": 1, "Read": 1}],
		"Delays": [{"From": "a", "To": "b", "Delay": 1}]}`
	var engine relay.Engine
	require.NoError(t, json.Unmarshal([]byte(text), &engine))
	for _, value := range []any{engine, engine.Accelerators[0], engine.Delays[0]} {
		v := reflect.ValueOf(value)
		for i := range v.NumField() {
			require.False(t, v.Field(i).IsZero(), "%s.%s has another name in the file", v.Type(), v.Type().Field(i).Name)
		}
	}
}
