package target_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/target"
)

// BenchmarkExchange measures a whole exchange on a kept connection, with the target in the same process.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{200, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Id", "1")
				w.Header().Set("Content-Type", "text/plain")
				_, _ = io.WriteString(w, "answer")
			}))
			defer server.Close()
			x := target.NewExchanger(func() {})
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				answer, err := x.Do(b.Context(), server.Listener.Addr().String(), &target.Request{
					Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: body,
					Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
				})
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, answer)
				require.NoError(b, err)
				answer.Close()
			}
		})
	}
}
