package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/settings"
)

// brokenEntry returns an entry VM before some targets, with a route for each way to repeat requests, and its log.
func brokenEntry(t *testing.T, targets ...*worker) (*httptest.Server, *logLines) {
	document := &relay.Document{Version: 1, Services: []relay.Service{{Name: "s", MaxConns: 100}}}
	for name, repeat := range map[string]relay.RepeatPolicy{"streams": relay.RepeatResume, "streams-once": relay.RepeatNever, "answers": relay.RepeatAlways, "once": relay.RepeatNever} {
		document.Routes = append(document.Routes, relay.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Stream: strings.HasPrefix(name, "streams"), Repeat: repeat, Timeout: 20 * time.Second,
			Objective: time.Second, MaxTargets: 2, Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}},
		})
	}
	var known []relay.Target
	for _, w := range targets {
		known = append(known, relay.Target{ID: relay.TargetID(w.address), Service: "s", Address: w.address, Slots: 10, Call: 1})
	}
	budget := relay.BudgetTerms{Share: 1, Fixed: 100, Window: 10 * time.Second}
	platform := daemon.Platform{Codec: resumeCodec{}, Engines: noEngines{}, Router: relay.Settings{Seed: 1, Started: time.Now().Add(-time.Minute), Budget: budget}}
	logs := new(logLines)
	g, err := daemon.GatewayFor(settings.Settings{Name: "vm"}, funcr.New(logs.add, funcr.Options{}), platform, document, known)
	require.NoError(t, err)
	daemon.ReceiveRequests(g)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveVM(g, w, r) }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { daemon.CloseIdle(g) })
	return server, logs
}

// framings are the ways in which the bodies of answers end.
var framings = map[string]func(head, body string) string{
	"length": func(head, body string) string {
		return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	},
	"chunks": func(head, body string) string {
		return fmt.Sprintf("%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	},
	"connection": func(head, body string) string { return head + "\r\n\r\n" + body },
}

// answerScript answers requests with one text after another, at several targets.
type answerScript struct {
	texts    []string
	answered atomic.Int32
}

// listen adds a target.
func (s *answerScript) listen(t *testing.T) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.answer(conn)
		}
	}()
	return &worker{address: l.Addr().String()}
}

// answer answers the first request of a connection and closes it.
func (s *answerScript) answer(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	n := int(s.answered.Add(1))
	_, _ = io.WriteString(conn, s.texts[min(n, len(s.texts))-1]) // the other end may have closed
}

// answerBody returns the body of a whole answer on a route.
func answerBody(route string) string {
	if route == "streams" {
		return "id: 1\n\nid: 2\n\n"
	}
	return "answer"
}

// requireTrueAnswer sends a request whose first target, or all of whose targets, answer with a broken text, and
// requires that its caller gets a whole answer or 502.
func requireTrueAnswer(t *testing.T, route, text string, all bool) {
	t.Helper()
	body := answerBody(route)
	texts := []string{text, text}
	if !all {
		texts[1] = framings["length"]("HTTP/1.1 200 OK\r\nId: a", body)
	}
	script := &answerScript{texts: texts}
	entry, logs := brokenEntry(t, script.listen(t), script.listen(t))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL+"/"+route+"/", strings.NewReader("question"))
	require.NoError(t, err)
	request.Header.Set("Id", "a")
	answer, err := entry.Client().Do(request)
	require.NoError(t, err, "the caller's connection ends without an answer")
	defer answer.Body.Close()
	got, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	if all || route == "once" {
		require.Equal(t, http.StatusBadGateway, answer.StatusCode)
	} else {
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.Equal(t, body, string(got))
	}
	want := int32(2)
	if route == "once" {
		want = 1
	}
	require.Equal(t, want, script.answered.Load(), "sendings of the request")
	require.NotEmpty(t, logs.containing("are no answer"), "a line names what was wrong")
}

// requireTrueAnswers does so for each route and framing, with one broken target and with all.
func requireTrueAnswers(t *testing.T, head string) {
	t.Helper()
	for framing, frame := range framings {
		for _, route := range []string{"streams", "answers", "once"} {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/%v", framing, route, all), func(t *testing.T) {
					requireTrueAnswer(t, route, frame(head, answerBody(route)), all)
				})
			}
		}
	}
}

// Guards against a caller whose connection ends without an answer, and against an answer that no target has
// given: a status outside those of HTTP was written to the caller, which panics below 100.
func TestAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) { requireTrueAnswers(t, "HTTP/1.1 "+status+" X\r\nId: a") })
	}
}

// Guards against an answer with a line that its target has not sent, and against a body that is not the
// target's: a field whose name has a blank was passed on, dropped, or a length or chunks that were not seen.
func TestAnswerWithInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range []string{"A B: c", "A : c", "Content-Length : 3", "Transfer-Encoding : chunked", "A\x01: c", "A\x00: c", "A\x7f: c", "A\x80: c", "A\t: c", ": c", "abc", "A(b): c", "A: b\rc", "A: b\x00c"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) { requireTrueAnswers(t, "HTTP/1.1 200 OK\r\nId: a\r\n"+line) })
	}
}

// Guards against a body that is not the target's: chunks of HTTP/1.0, which has none, were passed on with their
// sizes, or cut at a length beside them. Other versions of HTTP have no such heads.
func TestAnswerWithAmbiguousFramingIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct{ framing, head string }{
		"chunks in HTTP/1.0":              {"chunks", "HTTP/1.0 200 OK\r\nId: a"},
		"chunks and a length in HTTP/1.0": {"chunks", "HTTP/1.0 200 OK\r\nId: a\r\nContent-Length: 2"},
		"a length beside chunks":          {"chunks", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2"},
		"HTTP/2.0":                        {"connection", "HTTP/2.0 200 OK\r\nId: a"},
		"HTTP/0.9":                        {"connection", "HTTP/0.9 200 OK\r\nId: a"},
	} {
		for _, route := range []string{"streams", "answers", "once"} {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/%v", name, route, all), func(t *testing.T) {
					requireTrueAnswer(t, route, framings[c.framing](c.head, answerBody(route)), all)
				})
			}
		}
	}
}

// Guards against a stream whose caller gets the long answer of another target behind its events: the
// stream broke off, and the target that it was resumed at answered with a failure of over 256 KB.
func TestLongFailureIsNoPartOfBegunStream(t *testing.T) {
	for _, status := range []string{"500 Failed", "404 Not Found"} {
		t.Run(status, func(t *testing.T) {
			script := &answerScript{texts: []string{
				"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1000\r\n\r\nid: 1\n\n",
				framings["length"]("HTTP/1.1 "+status+"\r\nId: a", strings.Repeat("x", 300<<10)),
			}}
			entry, _ := brokenEntry(t, script.listen(t), script.listen(t))
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.URL+"/streams/", strings.NewReader("question"))
			require.NoError(t, err)
			request.Header.Set("Id", "a")
			answer, err := entry.Client().Do(request)
			require.NoError(t, err)
			defer answer.Body.Close()
			got, err := io.ReadAll(answer.Body)
			require.Error(t, err, "a stream that is cut must not look whole")
			require.Equal(t, "id: 1\n\n", string(got))
		})
	}
}

// Guards against the answer to HEAD whose length is not the one that its target has given.
func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 800\r\n\r\n": "800",
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n":   "0",
		"HTTP/1.1 200 OK\r\nId: a\r\n\r\n":                        "",
	} {
		script := &answerScript{texts: []string{text}}
		entry, _ := brokenEntry(t, script.listen(t))
		request, err := http.NewRequestWithContext(t.Context(), http.MethodHead, entry.URL+"/once/", nil)
		require.NoError(t, err)
		request.Header.Set("Id", "a")
		answer, err := entry.Client().Do(request)
		require.NoError(t, err)
		defer answer.Body.Close()
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.Equal(t, want, answer.Header.Get("Content-Length"))
	}
}
