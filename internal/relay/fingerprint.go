package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies equal requests: one that comes again has the same, under another id and
// at another VM. Callers of one organisation with the same method, host, path and body share it,
// and nobody else can produce that of another.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request of an organisation, whose name is empty if
// none is required. The address is the path and query as the caller sent them.
func NewFingerprint(organisation, method, host, address string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{organisation, method, host, address} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:]) // a hash accepts any write
		hash.Write([]byte(part))
	}
	hash.Write(body)
	var f Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}

// String returns the fingerprint for logs and operators, in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler, for lists of them in log lines.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
