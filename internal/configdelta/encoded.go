package configdelta

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"waxwingcart/internal/core/docdiff"
)

const (
	// maxEncoded is the number of deltas that a replica keeps encoded. All entries ask for the
	// same few within a moment.
	maxEncoded = 8
	// deflatedFrom is the length of a delta, in bytes, from which on it is compressed. Routes repeat most of
	// their text.
	deflatedFrom = 1 << 10
)

// encodedDelta is a delta as it is sent.
type encodedDelta struct {
	base, to docdiff.Digest
	data     []byte
	deflated bool
}

// encodedDeltas keeps the latest encoded deltas, so that each is computed and compressed once.
type encodedDeltas struct {
	mu   sync.Mutex
	kept []encodedDelta
}

// get returns the delta between two documents.
func (e *encodedDeltas) get(base, to *docdiff.Document) encodedDelta {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kept := range e.kept {
		if kept.base == base.Digest() && kept.to == to.Digest() {
			return kept
		}
	}
	delta := encodedDelta{base: base.Digest(), to: to.Digest(), data: docdiff.Encode(base, to)}
	if len(delta.data) >= deflatedFrom {
		delta.data, delta.deflated = deflate(delta.data), true
	}
	if len(e.kept) == maxEncoded {
		e.kept = append(e.kept[:0], e.kept[1:]...)
	}
	e.kept = append(e.kept, delta)
	return delta
}

func deflate(data []byte) []byte {
	var compressed bytes.Buffer
	// Writing to a buffer does not fail, and the level is valid.
	w, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return compressed.Bytes()
}

// inflate reverses deflate. The result must not exceed maxDocumentBytes.
func inflate(data []byte) ([]byte, error) {
	inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress a delta of %d bytes: %w", len(data), err)
	}
	if len(inflated) > maxDocumentBytes {
		return nil, fmt.Errorf("a delta of %d bytes is longer than %d bytes when decompressed", len(data), maxDocumentBytes)
	}
	return inflated, nil
}
