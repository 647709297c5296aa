package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// floodMemoryMB is the memory limit of the flooded process, and maxFloodedShare the share of it that
	// the process may use.
	floodMemoryMB   = 256
	maxFloodedShare = 0.8
	// unfinishedBodies is the number of bodies that never end, of unfinishedBytes each.
	unfinishedBodies = 300
	unfinishedBytes  = 1 << 20
	// floodedCalls is the number of calls beside them.
	floodedCalls = 20
)

// Guards against processes over their memory limit because bodies of callers of the product's own
// interface had a bound each and none together.
func TestUnfinishedBodiesAtOwnInterfaceAreBounded(t *testing.T) {
	d := deployWithin(t, floodMemoryMB, 1, 0, 1)
	vm := d.vms[0]
	head := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", testKey, unfinishedBytes)
	body := bytes.Repeat([]byte(" "), unfinishedBytes-1)
	done := make(chan struct{})
	var flooding sync.WaitGroup
	for range unfinishedBodies {
		flooding.Go(func() {
			conn, err := net.Dial("tcp", vm.callers)
			if err != nil {
				return
			}
			defer conn.Close()
			stop := make(chan struct{})
			go func() {
				select {
				case <-done:
				case <-stop:
				}
				conn.Close()
			}()
			if _, err := conn.Write(append([]byte(head), body...)); err == nil {
				_, _ = io.Copy(io.Discard, conn) // ends with the connection
			}
			close(stop)
		})
	}
	served := 0
	for range floodedCalls {
		response, err := http.Get("http://" + vm.callers + "/v1/entries")
		if err == nil && response.StatusCode == http.StatusOK {
			served++
		}
		if err == nil {
			response.Body.Close()
		}
		<-time.After(100 * time.Millisecond)
	}
	peak := peakMB(t, vm)
	close(done)
	flooding.Wait()
	t.Logf("%d of %d calls served, peak %d MB", served, floodedCalls, peak)
	require.LessOrEqual(t, float64(peak), maxFloodedShare*floodMemoryMB)
	require.Equal(t, floodedCalls, served)
}

// peakMB returns the peak of a process's resident memory, in MB.
func peakMB(t *testing.T, p *process) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err, "the process has ended")
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	kb := 0
	_, err = fmt.Sscan(after, &kb)
	require.NoError(t, err, "the process has ended")
	return kb / 1024
}
