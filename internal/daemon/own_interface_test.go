package daemon_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/settings"
)

// Guards against an empty success: the handlers of the product's own interface returned without an answer as the
// daemon ended, and net/http wrote 200.
func TestRequestsInFlightAtEndOfDaemonGetTrueAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, body string
		status             int
	}{
		"call":             {http.MethodPost, "/services/sign/x", "image", http.StatusBadGateway},
		"collected answer": {http.MethodPost, "/v1/completions", `{"model":"p","prompt":"a b"}`, http.StatusBadGateway},
		"stream":           {http.MethodPost, "/v1/chat/completions", `{"model":"p","stream":true,"messages":[{"role":"user","content":"a"}]}`, http.StatusBadGateway},
		"addresses of VMs": {http.MethodGet, "/v1/entries", "", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			handler, end, err := daemon.CallersAlone(settings.Settings{Limits: settings.Limits{Requests: 10, BodyBytes: 1 << 20}})
			require.NoError(t, err)
			server := httptest.NewServer(handler)
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), c.method, server.URL+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			request.Header.Set("Request-Timeout", "20s")
			end()
			answer, err := server.Client().Do(request)
			require.NoError(t, err)
			defer answer.Body.Close()
			text, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, answer.StatusCode, "%q", text)
		})
	}
}
