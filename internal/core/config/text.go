package config

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// This file compresses the text of a document for the wire and the disk.
//
// Problem: a document of 1,900 routes is some 600 KB, and most changes alter one route.
// Sending the whole text for each change would saturate the links of a fleet of 300 VMs.
//
// Algorithm: a text is sent and stored compressed. A change is sent as the new text
// compressed with the old one as its dictionary, so its size is little more than that of the
// new content. It can only be decoded with the old text, so a patch names its base version.

// Text is the text of a document. It is compressed in messages and on disk.
type Text []byte

const (
	// maxTextBytes bounds a decoded text. Operators may send 8 MB.
	maxTextBytes = 32 << 20
	// dictionaryID marks patches. Any number other than 0 is valid.
	dictionaryID = 1
)

// ErrText is returned for bytes that are no compressed text, or were made with another
// dictionary.
var ErrText = errors.New("compressed text can't be read; it was damaged, or made from another text")

var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
})

var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxTextBytes))
})

// MarshalBinary implements encoding.BinaryMarshaler.
func (t Text) MarshalBinary() ([]byte, error) {
	e, err := encoder()
	if err != nil {
		return nil, err
	}
	return e.EncodeAll(t, nil), nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. Its error is ErrText.
func (t *Text) UnmarshalBinary(data []byte) error {
	d, err := decoder()
	if err != nil {
		return err
	}
	text, err := d.DecodeAll(data, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrText, err)
	}
	*t = text
	return nil
}

// Diff returns the patch that turns t into next.
func (t Text) Diff(next Text) ([]byte, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderDictRaw(dictionaryID, t))
	if err != nil {
		return nil, err
	}
	return e.EncodeAll(next, nil), e.Close()
}

// Patched returns the text that results from a patch made by Diff. It returns ErrText when
// the patch can't be decoded.
func (t Text) Patched(patch []byte) (Text, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxTextBytes), zstd.WithDecoderDictRaw(dictionaryID, t))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	text, err := d.DecodeAll(patch, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrText, err)
	}
	return text, nil
}

// DocumentPatch turns one version of the document into another.
type DocumentPatch struct {
	Version uint64 `cbor:"version"`
	// Base is the version that Patch applies to.
	Base  uint64 `cbor:"base"`
	Patch []byte `cbor:"patch"`
}

// Change returns the change that turns d into next: a patch, or the whole document when a
// patch is not small enough.
func (d Document) Change(next Document) Change {
	if d.Version == 0 || len(d.Source) == 0 {
		return Change{Document: &next}
	}
	patch, err := d.Source.Diff(next.Source)
	if err != nil || len(patch) > len(next.Source)/minPatchRatio {
		return Change{Document: &next}
	}
	return Change{Patch: &DocumentPatch{Version: next.Version, Base: d.Version, Patch: patch}}
}

// minPatchRatio is the least ratio of the plain text's size to that of a patch: a whole text
// compresses to about a tenth.
const minPatchRatio = 10

// Patched returns the document after a patch.
func (d Document) Patched(p DocumentPatch) (Document, error) {
	if p.Base != d.Version {
		return d, &InvalidError{Ref{"document", fmt.Sprint(p.Version)}, fmt.Sprintf("it is a patch of version %d, and version %d is held", p.Base, d.Version), "send it again"}
	}
	text, err := d.Source.Patched(p.Patch)
	if err != nil {
		return d, err
	}
	return Document{Version: p.Version, Source: text}, nil
}
