package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ParseJSON decodes a complete configuration. Omitted defaults take the values
// of DefaultPolicy; unknown fields are an error. The result is not validated.
func ParseJSON(data []byte) (*Config, error) {
	config := &Config{Defaults: DefaultPolicy()}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(config); err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("parse configuration: got data after the closing brace, expected the end")
	}
	return config, nil
}
