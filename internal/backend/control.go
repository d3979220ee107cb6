package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

var errTooLarge = errors.New("the answer is larger than allowed")

// Cancel ends a stream at its engine. A stream that the engine does not hold
// counts as ended.
func (c *Client) Cancel(ctx context.Context, address, stream string) error {
	call := Call{Step: "cancel", Address: address, Method: http.MethodDelete, Path: streamPath(stream), Repeatable: true}
	_, err := c.control(ctx, call)
	var failed *Error
	if errors.As(err, &failed) && failed.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Export pauses a stream and returns its KV cache, limit bytes at most.
func (c *Client) Export(ctx context.Context, address, stream string, limit int64) ([]byte, error) {
	call := Call{Step: "export", Address: address, Method: http.MethodPost, Path: streamPath(stream) + "/export", Repeatable: true}
	return c.exchange(ctx, call, limit)
}

// Import hands an exported KV cache to an engine and returns the stream that
// Resume continues there.
func (c *Client) Import(ctx context.Context, address string, cache []byte) (string, error) {
	call := Call{Step: "import", Address: address, Method: http.MethodPost, Path: "/v1/kv/import", Body: cache}
	call.Header = http.Header{"Content-Type": {"application/octet-stream"}}
	var answer struct {
		Stream string `json:"stream"`
	}
	body, err := c.exchange(ctx, call, c.opts.MaxReportBytes)
	if err != nil {
		return "", err
	}
	if err := call.decode(body, &answer); err != nil {
		return "", err
	}
	if answer.Stream == "" {
		return "", call.invalid(errNoStream)
	}
	return answer.Stream, nil
}

// Order asks for a condition of an engine.
type Order struct {
	// Fencing is the fencing number.
	Fencing uint64 `json:"fencing"`
	// Kind is the kind of order, as "set-model".
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// OrderState is what an engine holds of its orders.
type OrderState struct {
	// Highest is the highest fencing number it has seen.
	Highest uint64 `json:"highest"`
	// Desired gives the last value by kind.
	Desired map[string]string `json:"desired"`
}

// Order sends an order. The *Error of an order that an engine refuses for its
// fencing number has Status 409 and Highest.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("order %s: %w", address, err)
	}
	call := Call{Step: "order", Address: address, Method: http.MethodPost, Path: "/v1/orders", Body: body, Repeatable: true}
	call.Header = http.Header{"Content-Type": {"application/json"}}
	_, err = c.control(ctx, call)
	return err
}

// Orders reads back what an engine holds of its orders.
func (c *Client) Orders(ctx context.Context, address string) (OrderState, error) {
	var state OrderState
	call := Call{Step: "read orders", Address: address, Method: http.MethodGet, Path: "/v1/orders", Repeatable: true}
	err := c.controlJSON(ctx, call, &state)
	return state, err
}

// The kinds of cache event.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent says that an engine stored or evicted a prefix.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

// CacheEvents lists the events after a sequence number, and the last number.
// A missing number is an event that was lost.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, int64, error) {
	path := "/v1/cache/events?after=" + strconv.FormatInt(after, 10)
	call := Call{Step: "read cache events", Address: address, Method: http.MethodGet, Path: path, Repeatable: true}
	var list struct {
		Events []CacheEvent `json:"events"`
		Last   int64        `json:"last"`
	}
	if err := c.controlJSON(ctx, call, &list); err != nil {
		return nil, 0, err
	}
	return list.Events, list.Last, nil
}

// control sends a call and returns the whole body of a 2xx answer.
func (c *Client) control(ctx context.Context, call Call) ([]byte, error) {
	call.ProgressTimeout = c.opts.ControlTimeout
	return c.exchange(ctx, call, c.opts.MaxReportBytes)
}

// controlJSON sends a call and decodes its answer.
func (c *Client) controlJSON(ctx context.Context, call Call, value any) error {
	body, err := c.control(ctx, call)
	if err != nil {
		return err
	}
	return call.decode(body, value)
}

// decode decodes an answer.
func (c Call) decode(body []byte, value any) error {
	if err := json.Unmarshal(body, value); err != nil {
		return c.invalid(err)
	}
	return nil
}

// exchange sends a call and returns the whole body of a 2xx answer, limit
// bytes at most.
func (c *Client) exchange(ctx context.Context, call Call, limit int64) ([]byte, error) {
	got, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer got.Close()
	if got.response.StatusCode/100 != 2 {
		return nil, got.refused()
	}
	if got.response.ContentLength > limit {
		return nil, got.fail(PhaseInvalid, errTooLarge)
	}
	body, err := io.ReadAll(io.LimitReader(got, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, got.fail(PhaseInvalid, errTooLarge)
	}
	return body, nil
}

// refused makes the error of an answer with an error status.
func (a *answer) refused() *Error {
	text, _ := io.ReadAll(io.LimitReader(a, a.client.opts.MaxErrorBytes))
	failed := a.fail(PhaseAnswered, fmt.Errorf("status %d: %.200s", a.response.StatusCode, text))
	if a.response.StatusCode == http.StatusConflict {
		var fenced struct {
			Highest uint64 `json:"highest"`
		}
		if json.Unmarshal(text, &fenced) == nil {
			failed.Highest = fenced.Highest
		}
	}
	return failed
}
