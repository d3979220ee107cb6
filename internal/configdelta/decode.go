package configdelta

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/state"
)

// Decoder decodes documents.
type Decoder struct {
	// Whole decodes and validates a document.
	Whole func(content []byte) (*routes.Table, error)
	// Change decodes the difference from an earlier document; it may be nil. If it fails,
	// Whole decides whether the document is valid.
	Change func(previous *routes.Index, from, to *docdiff.Document) (*routes.Index, error)
}

// Decode returns the index of a document. previous is the index of the document from; both may be nil.
func (d Decoder) Decode(previous *routes.Index, from *docdiff.Document, to *state.Numbered) (*routes.Index, error) {
	if d.Change != nil && previous != nil && from != nil {
		if index, err := d.Change(previous, from, to.Content); err == nil {
			return index, nil
		}
	}
	table, err := d.Whole(to.Content.Bytes())
	if err != nil {
		return nil, fmt.Errorf("document %d: %w", to.Number, err)
	}
	return routes.NewIndex(table), nil
}

func isNotFound(err error) bool {
	var twerr twirp.Error
	return errors.As(err, &twerr) && twerr.Code() == twirp.NotFound
}
