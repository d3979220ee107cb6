package fleet

import (
	"encoding/json"
	"fmt"
)

// PathNumbered is the path of the item that holds a numbered document. It is
// used by deployments whose configuration is produced elsewhere and replaced as
// a whole, each version with a number.
const PathNumbered = "numbered"

// NumberedDocument is a configuration document in its original form, with its number.
type NumberedDocument struct {
	Number uint64 `json:"number"`
	// Content is the document's JSON, unchanged but for white space around it.
	Content json.RawMessage `json:"content"`
}

// Item returns the item that holds the document. It fails if the content isn't JSON or
// can't be read back from the item.
func (n NumberedDocument) Item() (Item, error) {
	if !json.Valid(n.Content) {
		return Item{}, fmt.Errorf("encode document %d: the content is not JSON", n.Number)
	}
	item := n.UncheckedItem()
	if _, err := ParseNumberedDocument(item.JSON); err != nil {
		return Item{}, fmt.Errorf("encode document %d: %w", n.Number, err)
	}
	return item, nil
}

// UncheckedItem is Item for a document that was read from an item before.
func (n NumberedDocument) UncheckedItem() Item {
	// json.Marshal would escape and compact the content.
	data := fmt.Appendf(make([]byte, 0, len(n.Content)+maxItemFrame), `{"number":%d,"content":`, n.Number)
	return Item{Path: PathNumbered, JSON: append(append(data, n.Content...), '}')}
}

// maxItemFrame is the most bytes that an item has in addition to its document.
const maxItemFrame = 48

// ParseNumberedDocument decodes the JSON of the item at PathNumbered. Empty JSON means
// that there is no document and yields the number 0.
func ParseNumberedDocument(data []byte) (NumberedDocument, error) {
	var n NumberedDocument
	if len(data) == 0 {
		return n, nil
	}
	if err := json.Unmarshal(data, &n); err != nil {
		return NumberedDocument{}, fmt.Errorf("configuration item %q: %w", PathNumbered, err)
	}
	return n, nil
}
