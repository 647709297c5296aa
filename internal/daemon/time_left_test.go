package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/settings"
)

// timedCodec is a plainCodec whose requests carry the milliseconds that are left of their time.
type timedCodec struct{ plainCodec }

func (timedCodec) Head(h daemon.Hop) http.Header {
	return http.Header{"Id": {h.Call.ID}, "Left": {strconv.FormatInt(time.Until(h.Deadline).Milliseconds(), 10)}}
}

// maxExtraTime is half of the time that a repeat may carry beyond what its first sending had left, by
// the platform's rule on budgets.
const maxExtraTime = 250 * time.Millisecond

// timedArrival is a request as a target receives it.
type timedArrival struct {
	id       string
	at       time.Time
	deadline time.Time
}

// Guards against a repeat that carries the time that its first sending had left: a request whose
// reused connection was silent was sent on a new one with the head made for the first.
func TestResendCarriesTimeLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var mu sync.Mutex
	var arrivals []timedArrival
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			now, id := time.Now(), request.Header.Get("Id")
			left, err := strconv.Atoi(request.Header.Get("Left"))
			if err != nil {
				return
			}
			mu.Lock()
			arrivals = append(arrivals, timedArrival{id: id, at: now, deadline: now.Add(time.Duration(left) * time.Millisecond)})
			mu.Unlock()
			if n >= 10 {
				continue // the connection is silent from now on
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	document := &relay.Document{
		Version: 1, Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatAlways, Timeout: 5 * time.Second, MaxTargets: 2, Anonymous: true,
			Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	target := relay.Target{ID: "i-1", Service: "s", Address: l.Addr().String(), Slots: 10, Call: 1}
	timing := settings.Timing{Silence: settings.Duration(time.Second)}
	g, err := daemon.GatewayFor(settings.Settings{Timing: timing}, logr.Discard(),
		daemon.Platform{Codec: timedCodec{}, Router: relay.Settings{Seed: 1, Started: time.Now(), Budget: relay.BudgetTerms{Share: 1, Window: 10 * time.Second}}}, document, []relay.Target{target})
	require.NoError(t, err)
	daemon.ReceiveRequests(g)
	for n := range 40 {
		askAs(t, g, fmt.Sprint(n), 3*time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	resent := 0
	for i, a := range arrivals[1:] {
		first := arrivals[i]
		if a.id != first.id {
			continue
		}
		resent++
		later := a.deadline.Sub(first.deadline)
		require.Less(t, later, maxExtraTime, "request %s, sent again %v after the first sending", a.id, a.at.Sub(first.at))
	}
	require.Positive(t, resent)
}
