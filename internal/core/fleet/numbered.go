package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
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

// NullContent stands for the content of a document that is committed already, and is no content of a document itself.
const NullContent = "null"

// Item returns the item that holds the document. It fails if the content isn't JSON or
// can't be read back from the item.
func (n NumberedDocument) Item() (Item, error) {
	item := n.UncheckedItem()
	decoded, err := decodeNumbered(item.JSON)
	if err != nil {
		return Item{}, fmt.Errorf("encode document %d: %w", n.Number, err)
	}
	// What is not JSON by itself may be JSON within the item, with another meaning.
	if !bytes.Equal(decoded.Content, bytes.Trim(n.Content, jsonSpace)) {
		return Item{}, fmt.Errorf("encode document %d: the content is not JSON", n.Number)
	}
	return item, nil
}

// jsonSpace is the white space of JSON.
const jsonSpace = " \t\r\n"

// UncheckedItem is Item for a document that was read from an item before.
func (n NumberedDocument) UncheckedItem() Item {
	// json.Marshal would escape and compact the content.
	data := make([]byte, 0, len(n.Content)+maxItemFrame)
	data = strconv.AppendUint(append(data, itemStart...), n.Number, 10)
	data = append(append(data, itemContent...), n.Content...)
	return Item{Path: PathNumbered, JSON: append(data, itemEnd...)}
}

// Text of an item before the number, between it and the content, and after the content.
const (
	itemStart   = `{"number":`
	itemContent = `,"content":`
	itemEnd     = `}`
)

// maxItemFrame is the most bytes that an item has in addition to its document.
const maxItemFrame = 48

// ParseNumberedDocument decodes the JSON of the item at PathNumbered. Empty JSON means
// that there is no document and yields the number 0. The content of an item in the form of
// UncheckedItem, which may be long, was checked when the item was made. It is not decoded again,
// and shares memory with the item.
func ParseNumberedDocument(data []byte) (NumberedDocument, error) {
	if len(data) == 0 {
		return NumberedDocument{}, nil
	}
	if n, ok := splitNumbered(data); ok {
		return n, nil
	}
	return decodeNumbered(data)
}

// splitNumbered returns the document of an item in the form of UncheckedItem.
func splitNumbered(data []byte) (NumberedDocument, bool) {
	rest, ok := bytes.CutPrefix(data, []byte(itemStart))
	digits := 0
	for ok && digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		digits++
	}
	content, ok := bytes.CutPrefix(rest[digits:], []byte(itemContent))
	if !ok {
		return NumberedDocument{}, false
	}
	content, ok = bytes.CutSuffix(content, []byte(itemEnd))
	number, err := strconv.ParseUint(string(rest[:digits]), 10, 64)
	content = bytes.Trim(content, jsonSpace)
	if !ok || err != nil || len(content) == 0 {
		return NumberedDocument{}, false
	}
	return NumberedDocument{Number: number, Content: content}, true
}

func decodeNumbered(data []byte) (NumberedDocument, error) {
	var n NumberedDocument
	if err := json.Unmarshal(data, &n); err != nil {
		return NumberedDocument{}, fmt.Errorf("configuration item %q: %w", PathNumbered, err)
	}
	return n, nil
}
