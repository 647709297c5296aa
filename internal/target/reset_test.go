package target_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/target"
)

var resetAnswers = flag.Int("reset-answers", 20, "the answers of each case of TestAnswerWithoutLengthThatIsResetIsNotWhole")

// earlyEnding is how a connection ends after an answer that does not wait for the request's body.
type earlyEnding int

const (
	// endByReset resets the connection.
	endByReset earlyEnding = iota
	// endInOrder closes the sending side, and reads the body to its end.
	endInOrder
	// endInOrderThenReset closes the sending side, and resets the connection.
	endInOrderThenReset
)

const earlyBody = "the answer to a request that is still being sent"

// earlyTarget answers each request without a length before it has read the whole body.
type earlyTarget struct {
	address string
	reads   int64
	ending  earlyEnding
}

func newEarlyTarget(t *testing.T, reads int, ending earlyEnding) *earlyTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	e := &earlyTarget{address: l.Addr().String(), reads: int64(reads), ending: ending}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	return e
}

func (e *earlyTarget) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, e.reads)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+earlyBody)
	switch e.ending {
	case endByReset:
		_ = conn.SetLinger(0) // the kernel resets it if this works
	case endInOrder:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case endInOrderThenReset:
		_ = conn.CloseWrite()
		_ = conn.SetLinger(0)
	}
}

// askEarly sends a request and reads its answer after a pause.
func askEarly(t *testing.T, x *target.Exchanger, address string, body []byte, pause time.Duration) (string, error) {
	answer, err := x.Do(t.Context(), address, &target.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: body, NewConn: true,
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	time.Sleep(pause)
	text, err := io.ReadAll(answer)
	return string(text), err
}

// Guards against a part of an answer that looks whole: a target answered a long upload at once with
// neither a length nor chunks, and reset the connection. The kernel reports a reset to one call only; where
// the upload got it, the answer seemed to end in order.
func TestAnswerWithoutLengthThatIsResetIsNotWhole(t *testing.T) {
	for _, size := range []int{100, 20 << 10, 300 << 10, 4 << 20} {
		for _, reads := range []int{0, size / 2} {
			for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d/%d/%s", size, reads, pause), func(t *testing.T) {
					s := newEarlyTarget(t, reads, endByReset)
					x := target.NewExchanger(func() {})
					body, whole := bytes.Repeat([]byte("x"), size), 0
					for range *resetAnswers {
						if _, err := askEarly(t, x, s.address, body, pause); err == nil {
							whole++
						}
					}
					require.Zero(t, whole, "of %d answers that were reset", *resetAnswers)
				})
			}
		}
	}
}

// Guards against the opposite: an answer that ends in order is whole while its request is still being
// sent, also if the connection is reset after its end.
func TestAnswerThatEndsInOrderDuringUploadIsWhole(t *testing.T) {
	for _, ending := range []earlyEnding{endInOrder, endInOrderThenReset} {
		for _, size := range []int{100, 300 << 10, 4 << 20} {
			t.Run(fmt.Sprintf("%d/%d", ending, size), func(t *testing.T) {
				x := target.NewExchanger(func() {})
				s := newEarlyTarget(t, 0, ending)
				body := bytes.Repeat([]byte("x"), size)
				for range 3 * *resetAnswers {
					text, err := askEarly(t, x, s.address, body, 0)
					require.NoError(t, err)
					require.Equal(t, earlyBody, text)
				}
			})
		}
	}
}

// Guards the same for calls of the product's own interface.
func TestAnswerToCallThatIsResetIsNotWhole(t *testing.T) {
	for _, reads := range []int{0, 2 << 20} {
		t.Run(fmt.Sprint(reads), func(t *testing.T) {
			s := newEarlyTarget(t, reads, endByReset)
			whole := 0
			for range *resetAnswers {
				deadline := time.Now().Add(longPause)
				ended := target.NewClient().Dispatch(t.Context(), core.Dispatch{ID: "a", Address: s.address, Deadline: deadline, NotAfter: deadline},
					target.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 4<<20)})
				if ended.Result == core.ResultDone {
					whole++
				}
			}
			require.Zero(t, whole, "of %d answers that were reset", *resetAnswers)
		})
	}
}
