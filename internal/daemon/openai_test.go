package daemon_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against options that were silently ignored, and a body over the limit that was
// answered as a bad request.
func TestUnsupportedRequestsAreRefused(t *testing.T) {
	d := deploy(t, 1, 0, 600)
	for _, test := range []struct {
		name, body string
		status     int
	}{
		{"no tokens", `{"model":"p","prompt":"x","max_tokens":0}`, http.StatusBadRequest},
		{"fewer than none", `{"model":"p","prompt":"x","max_completion_tokens":-1}`, http.StatusBadRequest},
		{"several answers", `{"model":"p","prompt":"x","n":2}`, http.StatusBadRequest},
		{"stop words", `{"model":"p","prompt":"x","stop":["."]}`, http.StatusBadRequest},
		{"usage", `{"model":"p","prompt":"x","stream_options":{"include_usage":true}}`, http.StatusBadRequest},
		{"too large", `{"model":"p","prompt":"` + strings.Repeat("x", 2<<20) + `"}`, http.StatusRequestEntityTooLarge},
		{"in order", `{"model":"p","prompt":"x","max_tokens":3,"n":1,"stop":null}`, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.vms[0].callers+"/v1/completions", strings.NewReader(test.body))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+testKey)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, test.status, response.StatusCode)
		})
	}
}
