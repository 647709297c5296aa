package daemon_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	randomAnswers = flag.Int("random-answers", 400, "the answers of TestCallerGetsWholeAnswerOrTrueFailure")
	randomSeed    = flag.Uint64("random-answer", 1, "its first seed")
)

// randomAnswer is an answer that was made by a grammar, with faults, and the way in which it is sent.
type randomAnswer struct {
	route string
	// sound is set if the head is one of HTTP/1.1, and framed if the body's end is marked.
	sound, framed bool
	// head and body are the bytes of the answer, and content is the body without its framing.
	head, body, content string
	// sent is the number of bytes after which the connection ends, by a reset or in order.
	sent   int
	resets bool
	upload int
	// reads is the part of the upload that is read before the answer is sent.
	reads int
}

// choose returns one of the sound values, or seldom one of the faulty ones, and whether it is sound.
func choose(random *rand.Rand, sound, faulty []string) (string, bool) {
	if random.IntN(8) == 0 {
		return faulty[random.IntN(len(faulty))], false
	}
	return sound[random.IntN(len(sound))], true
}

func newRandomAnswer(random *rand.Rand) randomAnswer {
	a := randomAnswer{route: [...]string{"streams-once", "answers", "once"}[random.IntN(3)]}
	a.content = strings.Repeat("x", random.IntN(2000))
	if a.route == "streams-once" {
		a.content = ""
		for n := range 1 + random.IntN(20) {
			a.content += fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", random.IntN(100)))
		}
	}
	version, soundVersion := choose(random, []string{"HTTP/1.1"}, []string{"HTTP/2.0", "HTTP/0.9", "http/1.1", "HTTP", ""})
	status, soundStatus := choose(random, []string{"200 OK", "200"}, []string{"000 X", "099 X", "20 X", "2000 X", "+20 X", "600 X", "999 X", "101 X", "2x0 X"})
	field, soundField := choose(random, []string{"A: b", "A:b", "A: b\r\n c", "A: b\tc", "A: b\x80"}, []string{"A B: c", "A : c", "A\t: c", "A\x00: c", "A\x01: c", "A\x7f: c", "A\x80: c", ": c", "abc", "A: b\rc", "A: b\x00c", "Content-Length : 3", "Transfer-Encoding : chunked"})
	framing, soundFraming := choose(random, []string{"length", "chunks", "connection"}, []string{"both", "lengths", "gzip", "sign"})
	a.sound = soundVersion && soundStatus && soundField && soundFraming
	a.framed = framing != "connection"
	a.head = fmt.Sprintf("%s %s\r\nId: a\r\n%s\r\n", version, status, field)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(a.content))
	const chunked = "Transfer-Encoding: chunked\r\n"
	a.body = a.content
	switch framing {
	case "length":
		a.head += length
	case "chunks":
		a.head, a.body = a.head+chunked, inChunks(random, a.content)
	case "both":
		a.head, a.body = a.head+chunked+length, inChunks(random, a.content)
	case "lengths":
		a.head += length + "Content-Length: 1\r\n"
	case "gzip":
		a.head += "Transfer-Encoding: gzip\r\n"
	case "sign":
		a.head += "Content-Length: +1\r\n"
	}
	a.head += "\r\n"
	a.sent = len(a.head) + len(a.body)
	if random.IntN(2) == 0 {
		a.sent = random.IntN(a.sent)
	}
	a.resets = random.IntN(2) == 0
	a.upload = [...]int{0, 100, 300 << 10, 2 << 20}[random.IntN(4)]
	a.reads = [...]int{0, a.upload / 2, a.upload}[random.IntN(3)]
	return a
}

// inChunks returns a text in chunks of random sizes.
func inChunks(random *rand.Rand, text string) string {
	var chunks strings.Builder
	for len(text) > 0 {
		n := 1 + random.IntN(len(text))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	chunks.WriteString("0\r\n\r\n")
	return chunks.String()
}

// wholeBody returns the body that a caller may get as a whole one, if there is one.
func (a randomAnswer) wholeBody() (string, bool) {
	switch complete := a.sent == len(a.head)+len(a.body); {
	case !a.sound || a.sent < len(a.head):
		return "", false
	case a.framed:
		return a.content, complete
	case a.resets:
		return "", false
	}
	// The end of the connection is the answer's.
	return a.content[:a.sent-len(a.head)], true
}

// listen starts a target that sends the answer to each request.
func (a randomAnswer) listen(t *testing.T) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(conn.(*net.TCPConn))
		}
	}()
	return &worker{address: l.Addr().String(), listener: l}
}

func (a randomAnswer) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, int64(a.reads))
	_, _ = io.WriteString(conn, (a.head + a.body)[:a.sent])
	if a.resets {
		resetConn(conn)
		return
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn) // a close with unread bytes resets the connection
}

// Guards against a caller who gets anything but one target's whole answer or a true failure: the head or the
// body of an answer is broken, cut at any byte, reset or ended in order, with or without an upload in progress.
func TestCallerGetsWholeAnswerOrTrueFailure(t *testing.T) {
	outcomes := make(map[string]int)
	for n := range uint64(*randomAnswers) {
		seed := *randomSeed + n
		a := newRandomAnswer(rand.New(rand.NewPCG(84, seed)))
		broken := a.listen(t)
		entry, _ := brokenEntry(t, broken)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL+"/"+a.route+"/", bytes.NewReader(make([]byte, a.upload)))
		require.NoError(t, err)
		request.Header.Set("Id", "a")
		answer, err := entry.Client().Do(request)
		if a.route != "streams-once" || !a.sound {
			require.NoError(t, err, "seed %d: the connection ends without an answer: %+v", seed, a)
		}
		var got []byte
		if err == nil {
			got, err = io.ReadAll(answer.Body)
			answer.Body.Close()
		}
		want, whole := a.wholeBody()
		switch {
		case err != nil:
			outcomes["cut"]++ // of a stream that had begun
			require.Equal(t, "streams-once", a.route, "seed %d: %+v", seed, a)
		case answer.StatusCode == http.StatusOK:
			outcomes["whole"]++
			require.True(t, whole, "seed %d: %q of %+v", seed, got, a)
			require.Equal(t, want, string(got), "seed %d: %+v", seed, a)
		default:
			outcomes["failed"]++
			require.Equal(t, http.StatusBadGateway, answer.StatusCode, "seed %d: %+v", seed, a)
			if a.sound && a.framed && a.sent == len(a.head)+len(a.body) && !a.resets {
				require.Fail(t, "a whole answer is lost", "seed %d: %+v", seed, a)
			}
		}
		broken.listener.Close()
		entry.Close()
	}
	t.Logf("outcomes: %v", outcomes)
	require.Positive(t, outcomes["whole"])
	require.Positive(t, outcomes["failed"])
}
