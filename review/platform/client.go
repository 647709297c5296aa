package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// outcome is how one attempt of a client ended.
type outcome struct {
	id     string
	method string
	entry  string
	// kept is set if the attempt was sent on a kept connection, and read if any byte of an answer
	// came back.
	kept, read bool
	status     int
	whole      bool
	// closed is set if the connection ended before the deadline without a whole answer.
	closed  bool
	sentAt  time.Time
	endedAt time.Time
	err     error
}

// client stands in for one client: it asks for addresses, keeps its connection and sends one
// request at a time.
type client struct {
	d         *deployment
	n         int
	host      string
	key       string
	paths     map[string]string
	deadline  time.Duration
	addresses []string
	until     time.Time
	failed    map[string]time.Time
	conn      net.Conn
	reader    *bufio.Reader
	address   string
	outcomes  *outcomes
}

// outcomes collects the outcomes of all clients.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (o *outcomes) add(one outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, one)
}

func (o *outcomes) list() []outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.all)
}

// resolve asks a directory for the addresses of entry processes.
func (c *client) resolve() bool {
	asker := &http.Client{Timeout: time.Second}
	for range 3 {
		m := c.d.machines[rand.IntN(len(c.d.machines))]
		response, err := asker.Get(fmt.Sprintf("http://%s:%d/spoolbank/resolve?Name=%s&Region=r&Zone=%s", m.ip, portDirectory, c.host, zones[c.n%len(zones)]))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string
			TtlS      float64
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(answer.TtlS*float64(time.Second)))
			return true
		}
	}
	return len(c.addresses) > 0
}

// connect opens a connection to an address that has not failed this client.
func (c *client) connect() error {
	if !time.Now().Before(c.until) && !c.resolve() {
		return errors.New("no address")
	}
	if c.conn != nil && slices.Contains(c.addresses, c.address) {
		return nil
	}
	c.drop()
	choices := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return time.Since(c.failed[a]) < 2*time.Second })
	if len(choices) == 0 {
		choices = c.addresses
	}
	address := choices[rand.IntN(len(choices))]
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.failed[address] = time.Now()
		return err
	}
	c.conn, c.reader, c.address = conn, bufio.NewReader(conn), address
	return nil
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends one attempt and waits for its answer.
func (c *client) send(method, path string) outcome {
	before := c.conn
	if err := c.connect(); err != nil {
		return outcome{method: method, err: err, sentAt: time.Now(), endedAt: time.Now()}
	}
	kept := before != nil && c.conn == before
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, entry: c.address, kept: kept, sentAt: time.Now()}
	defer func() {
		o.endedAt = time.Now()
		c.d.record.printf("client %d: %s %s by way of %s: status %d, whole %v, closed %v, after %d ms, error %v", c.n, o.method, o.id, o.entry, o.status, o.whole, o.closed, o.endedAt.Sub(o.sentAt).Milliseconds(), o.err)
	}()
	var request bytes.Buffer
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\nSpool-Attempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n", method, path, c.host, o.id, c.deadline.Milliseconds(), c.key)
	if method == http.MethodPost {
		body := answerBody(o.id)
		fmt.Fprintf(&request, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		request.WriteString("\r\n")
	}
	_ = c.conn.SetDeadline(o.sentAt.Add(c.deadline)) // an error shows with the first use
	if _, o.err = c.conn.Write(request.Bytes()); o.err != nil {
		c.ended(&o)
		return o
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		o.err = err
		c.ended(&o)
		return o
	}
	o.read, o.status = true, response.StatusCode
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if o.err = err; err != nil {
		c.ended(&o)
		return o
	}
	o.whole = true
	if o.status == http.StatusOK && !bytes.Equal(body, answerBody(o.id)) {
		o.err = errors.New("the body is not that of the answer")
	}
	if response.Close {
		c.drop()
	}
	return o
}

// ended handles a connection that ended before a whole answer.
func (c *client) ended(o *outcome) {
	o.closed = !errors.Is(o.err, os.ErrDeadlineExceeded)
	if o.closed {
		c.failed[c.address] = time.Now()
	}
	c.drop()
}

// run sends requests until the deployment stops or until is over.
func (c *client) run(until time.Time, pause time.Duration) {
	defer c.drop()
	for time.Now().Before(until) && !c.d.stopping.Load() {
		method := http.MethodPost
		if rand.IntN(3) == 0 {
			method = http.MethodGet
		}
		c.outcomes.add(c.send(method, c.paths[method]))
		time.Sleep(pause/2 + rand.N(pause))
	}
}
