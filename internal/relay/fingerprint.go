package relay

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
)

// Fingerprint identifies what requests of one organisation may have in common, under any id and at
// any VM: all of a request, its method, host, path and body, or one part of its prompt. Nobody else
// can produce a fingerprint of an organisation.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request of an organisation, whose name is empty if
// none is required. The address is the path and query as the caller sent them.
func NewFingerprint(organisation, method, host, address string, body []byte) Fingerprint {
	hash := sha256.New()
	writeFields(hash, organisation, method, host, address)
	hash.Write(body) // a hash accepts any write
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// partDomain begins the hash of a part; it is longer than any field that begins that of a request.
const partDomain = math.MaxUint64

// NewPartFingerprint returns the fingerprint of a part of a prompt, by the id that the callers of an
// organisation give it.
func NewPartFingerprint(organisation, part string) Fingerprint {
	hash := sha256.New()
	hash.Write(binary.BigEndian.AppendUint64(nil, partDomain))
	writeFields(hash, organisation, part)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// writeFields writes fields to a hash, each with its length before it.
func writeFields(hash hash.Hash, fields ...string) {
	for _, field := range fields {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		hash.Write([]byte(field))
	}
}

// String returns the fingerprint for logs and operators, in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler, for lists of them in log lines.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// Compare orders fingerprints.
func (f Fingerprint) Compare(o Fingerprint) int { return bytes.Compare(f[:], o[:]) }

// ParseFingerprint parses what String returns.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(f) {
		return f, false
	}
	return Fingerprint(raw), true
}
