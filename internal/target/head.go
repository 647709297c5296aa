package target

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// This file checks the heads of answers, for all readers of targets' answers.
//
// Problem: http.ReadResponse is lenient. It accepts any three digits as a status, and fields whose name has a
// blank; with "Content-Length : 3" it takes the end of the connection for that of the body. A caller
// would get an answer that its target has not given, or none.
//
// Algorithm: what http.ReadResponse accepts is checked against RFC 9110 and 9112. An answer that
// fails is an outcome of the try like a lost connection. The parser removes the fields that frame a body,
// so the bytes of a head are recorded while it reads them.
//
// Limits: framing is checked for requests and calls. The replies of engines and of the platform are JSON, and
// are read by net/http.

// Fault is what is wrong with bytes that are no answer.
type Fault string

// The faults.
const (
	// FaultSyntax: they can't be parsed.
	FaultSyntax Fault = "syntax"
	// FaultEndless: a head, an event or a reply has no end within its bound.
	FaultEndless Fault = "endless"
	// FaultVersion: the version is not HTTP/1.
	FaultVersion Fault = "version"
	// FaultFraming: it is ambiguous where the body ends.
	FaultFraming Fault = "framing"
	// FaultFieldName: the name of a field has a blank.
	FaultFieldName Fault = "field name"
	// FaultStatus: the status is not one of HTTP, or switches protocols, which no request asks for.
	FaultStatus Fault = "status"
)

// NoAnswerError is the error of bytes of a target that are no answer. It wraps ErrNoAnswer.
type NoAnswerError struct {
	Fault  Fault
	Detail string
}

// errEndless is the error of an answer that has more bytes than its bound.
var errEndless = &NoAnswerError{Fault: FaultEndless, Detail: "it has no end within its bound"}

// Error implements error.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("%v (%s: %s); check that it speaks HTTP/1.1", ErrNoAnswer, e.Fault, e.Detail)
}

// Unwrap returns ErrNoAnswer.
func (e *NoAnswerError) Unwrap() error { return ErrNoAnswer }

// FaultOf returns the fault that an error names, or "" if it names none.
func FaultOf(err error) Fault {
	var broken *NoAnswerError
	if errors.As(err, &broken) {
		return broken.Fault
	}
	return ""
}

// minStatus and maxStatus bound the statuses of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// checkHead returns a NoAnswerError if a parsed head is not one of HTTP/1.
func checkHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return &NoAnswerError{Fault: FaultStatus, Detail: fmt.Sprintf("%q", r.Status)}
	}
	if r.ProtoMajor != 1 {
		return &NoAnswerError{Fault: FaultVersion, Detail: fmt.Sprintf("%q", r.Proto)}
	}
	for name := range r.Header {
		if strings.Contains(name, " ") { // the parser rejects all other bytes that no name may have
			return &NoAnswerError{Fault: FaultFieldName, Detail: fmt.Sprintf("%q", name)}
		}
	}
	return nil
}

// checkFraming returns a NoAnswerError if the text of a head frames its body in two ways, or in one that its
// version does not have.
func checkFraming(text []byte, r *http.Response) error {
	switch {
	case !hasField(text, "Transfer-Encoding"):
		return nil
	case !r.ProtoAtLeast(1, 1):
		return &NoAnswerError{Fault: FaultFraming, Detail: "a transfer encoding in " + r.Proto}
	case hasField(text, "Content-Length"):
		return &NoAnswerError{Fault: FaultFraming, Detail: "a length beside a transfer encoding"}
	}
	return nil
}

// hasField reports whether the text of a head has a field.
func hasField(text []byte, name string) bool {
	for len(text) > 0 {
		line := text
		if end := bytes.IndexByte(text, '\n'); end >= 0 {
			line = text[:end]
		}
		if len(line) > len(name) && line[len(name)] == ':' && bytes.EqualFold(line[:len(name)], []byte(name)) {
			return true
		}
		text = text[min(len(line)+1, len(text)):]
	}
	return false
}

// headBuffers holds buffers for the texts of heads.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// recordHead makes Read record the text of a head.
func (l *link) recordHead() error {
	buffered, err := l.reader.Peek(l.reader.Buffered())
	if err != nil {
		return err
	}
	l.head = headBuffers.Get().(*bytes.Buffer)
	l.head.Reset()
	l.head.Write(buffered)
	return nil
}

// headText returns the text of the head that was read since recordHead. The reader may have buffered a part
// of the body behind it.
func (l *link) headText() []byte { return l.head.Bytes()[:l.head.Len()-l.reader.Buffered()] }

// endHead ends the recording.
func (l *link) endHead() {
	if l.head.Cap() <= readBufferBytes {
		headBuffers.Put(l.head)
	}
	l.head = nil
}

// NewHTTPClient returns a client for targets. It rejects answers whose head is not one of HTTP/1, and returns
// redirections as they are: what a target may be sent is not for another one.
func NewHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     answerChecker{next: transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// answerChecker is a transport that rejects answers whose head is not one of HTTP/1.
type answerChecker struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c answerChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport, as http.Client asks for.
func (c answerChecker) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
