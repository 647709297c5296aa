package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cuttingAnswers cuts every second answer of targets at a random byte.
type cuttingAnswers struct {
	f      *cutFleet
	mu     sync.Mutex
	random *rand.Rand
	// resets is set if connections are reset at the cut.
	resets bool
	cuts   int
}

// answer writes an answer as bytes, and cuts it or not.
func (c *cuttingAnswers) answer(w http.ResponseWriter, r *http.Request) bool {
	text := c.text(r)
	c.mu.Lock()
	cut := len(text)
	if c.random.IntN(2) == 0 {
		// Two of three cuts are in the head.
		cut = c.random.IntN(bytes.Index(text, []byte("\r\n\r\n")) + 4)
		if c.random.IntN(3) == 0 {
			cut = c.random.IntN(len(text))
		}
		c.cuts++
	}
	c.mu.Unlock()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_, _ = conn.Write(text[:cut]) // the other end may have closed
	if cut < len(text) && c.resets {
		_ = conn.(*net.TCPConn).SetLinger(0) // the kernel resets it if this works
	}
	return true
}

// text returns a whole answer, with a length or in chunks.
func (c *cuttingAnswers) text(r *http.Request) []byte {
	id := r.Header.Get("Id")
	body := "answer to " + id
	if strings.HasPrefix(r.URL.Path, "/streams/") {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none stands for 0
		body = ""
		for n := after + 1; n <= c.f.events; n++ {
			body += fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		}
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// outcome returns whether a caller got a whole answer, and whether it got a success that looks
// whole and is not.
func (f *cutFleet) outcome(t *testing.T, vm *cutVM, id, path string) (whole, wrong bool) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, vm.server.URL+path, strings.NewReader("question"))
	require.NoError(t, err)
	request.Header.Set("Id", id)
	answer, err := vm.server.Client().Do(request)
	if err != nil {
		return false, false
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		return false, false
	}
	whole = f.whole(id, path, string(body))
	return whole, !whole
}

// Guards against a short or empty answer that looks whole to a caller: its target stopped in the
// middle of the answer's head, or of its body, and closed or reset the connection.
func TestCutAnswerNeverLooksWholeToCaller(t *testing.T) {
	for _, resets := range []bool{false, true} {
		for _, tunnel := range []bool{false, true} {
			t.Run(fmt.Sprintf("reset %v, tunnel %v", resets, tunnel), func(t *testing.T) {
				f := newCutFleet(t, 3)
				vm := f.vms[0]
				if tunnel {
					f.isolate(t, vm)
				}
				c := &cuttingAnswers{f: f, random: rand.New(rand.NewPCG(76, 1)), resets: resets}
				f.mu.Lock()
				f.answer = c.answer
				f.mu.Unlock()
				served := make(map[string]int)
				for n := range 120 {
					path := [...]string{"/streams/", "/answers/", "/once/"}[n%3]
					id := fmt.Sprint("cut-", n)
					whole, wrong := f.outcome(t, vm, id, path)
					require.False(t, wrong, "%s%s", path, id)
					if whole {
						served[path]++
					}
					f.mu.Lock()
					runs := f.runs[id]
					f.mu.Unlock()
					if path == "/once/" {
						require.LessOrEqual(t, runs, 1, "%s may run once", id)
					}
				}
				t.Logf("%d answers cut, whole: %v", c.cuts, served)
				require.Positive(t, c.cuts)
				for _, path := range []string{"/streams/", "/answers/", "/once/"} {
					require.Positive(t, served[path], path)
				}
			})
		}
	}
}
