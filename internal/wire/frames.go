package wire

import "fmt"

// This file finds the frames of drpc in the bytes of a connection without keeping them, to tell how much
// has come of an incomplete message, and whether the bytes are messages at all.

const (
	// maxFrameBytes is the largest frame that drpc sends with its default options.
	maxFrameBytes = 64 << 10
	// maxInvokeBytes bounds the name of an RPC and the metadata with it.
	maxInvokeBytes = 4 << 10
)

// frameScanner finds the frames of drpc in the bytes of a connection.
type frameScanner struct {
	// message is the number of bytes that have come of an incomplete message, with its frames' headers.
	message int64
	// left is the number of bytes that are missing of the current frame.
	left uint64
	// header holds the bytes of an incomplete header.
	header []byte
	// kind and done are those of the current frame; begun is set once a call has come.
	kind  byte
	done  bool
	begun bool
}

// The kinds of drpc packets that are distinguished here.
const (
	kindInvoke         = 1
	kindInvokeMetadata = 7
	maxKind            = 7
	maxHeaderBytes     = 1 + 3*9
	// varintMore is set in all bytes of a varint but the last.
	varintMore = 0x80
)

// scan scans the bytes that came next.
func (s *frameScanner) scan(p []byte) error {
	for len(p) > 0 {
		if s.left > 0 {
			n := min(s.left, uint64(len(p)))
			s.left -= n
			s.message += int64(n)
			p = p[n:]
			s.endFrame()
			continue
		}
		s.header = append(s.header, p[0])
		p = p[1:]
		s.message++
		if err := s.scanHeader(); err != nil {
			return err
		}
	}
	return nil
}

// scanHeader checks the header, and begins its frame once it is complete.
func (s *frameScanner) scanHeader() error {
	if len(s.header) > maxHeaderBytes {
		return fmt.Errorf("wire: a frame has a header of more than %d bytes; check what connects to the peer port", maxHeaderBytes)
	}
	if len(s.header) == 1 {
		return s.scanKind()
	}
	length, complete := frameLength(s.header[1:])
	if !complete {
		return nil
	}
	if length > maxFrameBytes {
		return fmt.Errorf("wire: a frame of %d bytes, at most %d are sent; check what connects to the peer port", length, maxFrameBytes)
	}
	if (s.kind == kindInvoke || s.kind == kindInvokeMetadata) && s.message+int64(length) > maxInvokeBytes {
		return fmt.Errorf("wire: a call with a name of %d bytes, at most %d are sent; check what connects to the peer port", s.message+int64(length), maxInvokeBytes)
	}
	s.header, s.left = s.header[:0], length
	s.endFrame()
	return nil
}

// scanKind checks the first byte of a header.
func (s *frameScanner) scanKind() error {
	s.kind, s.done = s.header[0]&0x7e>>1, s.header[0]&1 != 0
	call := s.kind == kindInvoke || s.kind == kindInvokeMetadata
	if s.kind == 0 || s.kind > maxKind || !call && !s.begun {
		return fmt.Errorf("wire: a frame of kind %d, which no VM sends here; check what connects to the peer port", s.kind)
	}
	s.begun = true
	return nil
}

// endFrame ends the message if its last frame is complete.
func (s *frameScanner) endFrame() {
	if s.left == 0 && s.done {
		s.message = 0
	}
}

// frameLength returns the third varint of a header without its first byte, and whether it is complete.
func frameLength(header []byte) (length uint64, complete bool) {
	const numbers = 3
	number, shift := 0, 0
	for _, b := range header {
		if number == numbers-1 {
			length |= uint64(b&^varintMore) << shift
			shift += 7
		}
		if b&varintMore == 0 {
			number++
		}
	}
	return length, number == numbers
}
