package standin

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

const (
	exportMagic      = "KVX1"
	exportLimitBytes = 1 << 30
	exportChunkBytes = 64 << 10
)

// exportHeader describes an exported stream; KV cache bytes follow it.
type exportHeader struct {
	Request  string   `json:"request"`
	Key      string   `json:"key"`
	Model    string   `json:"model"`
	Chat     bool     `json:"chat"`
	Tokens   int      `json:"tokens"`
	Prompt   int      `json:"prompt"`
	Priority int      `json:"priority"`
	Produced int      `json:"produced"`
	Blocks   []string `json:"blocks"`
	Bytes    int64    `json:"bytes"`
}

var (
	errNoStream  = errors.New("no such stream")
	errNotBegun  = errors.New("the stream has no KV cache yet or has ended")
	errBadExport = errors.New("not an exported KV cache")
)

// pause stops a decoding stream and describes it.
func (e *engine) pause(id string) (exportHeader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return exportHeader{}, errNoStream
	}
	if s.phase != phaseDecode && s.phase != phasePaused {
		return exportHeader{}, errNotBegun
	}
	s.phase = phasePaused
	s.unread = time.Now()
	s.wake()
	for i, other := range e.running {
		if other == s {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			break
		}
	}
	e.stats.Exported++
	return exportHeader{
		Request: s.request, Key: s.key, Model: s.model, Chat: s.chat,
		Tokens: s.tokens, Prompt: s.prompt, Priority: s.priority,
		Produced: s.produced, Blocks: s.blocks,
		Bytes: int64(e.opts.ExportBytesPerToken) * int64(s.prompt+s.produced),
	}, nil
}

// export pauses a stream and sends its KV cache at the export rate.
func (m *modelServer) export(w http.ResponseWriter, r *http.Request) {
	header, err := m.engine.pause(mux.Vars(r)["stream"])
	if errors.Is(err, errNoStream) {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	if err != nil {
		writeError(w, http.StatusConflict, err.Error())
		return
	}
	description, err := json.Marshal(header)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	total := int64(len(exportMagic)) + 4 + int64(len(description)) + header.Bytes
	w.Header().Set("Content-Length", strconv.FormatInt(total, 10))
	_, _ = io.WriteString(w, exportMagic)
	_ = binary.Write(w, binary.BigEndian, uint32(len(description)))
	_, _ = w.Write(description)
	m.sendCache(w, r, header.Bytes)
}

// sendCache sends that many bytes at the export rate.
func (m *modelServer) sendCache(w http.ResponseWriter, r *http.Request, left int64) {
	block := make([]byte, exportChunkBytes)
	for left > 0 {
		size := min(left, exportChunkBytes)
		if !m.transfer(r.Context(), size) || !m.server.faults.speak(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(block[:size]); err != nil {
			panic(http.ErrAbortHandler)
		}
		left -= size
	}
}

// transfer takes the time that so many bytes need.
func (m *modelServer) transfer(ctx context.Context, size int64) bool {
	seconds := float64(size) / m.server.opts.ExportBytesPerSecond
	return sleep(ctx, time.Duration(seconds*float64(time.Second)))
}

// importKV takes an exported KV cache and goes on with its stream.
func (m *modelServer) importKV(w http.ResponseWriter, r *http.Request) {
	if m.leaving() {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	body := http.MaxBytesReader(w, r.Body, exportLimitBytes)
	header, err := readExport(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !m.transfer(r.Context(), header.Bytes) {
		return
	}
	s, err := m.engine.adopt(header)
	if err != nil {
		refuse(w, http.StatusTooManyRequests, err.Error())
		return
	}
	w.Header().Set("X-Stream-Id", s.id)
	writeJSON(w, http.StatusOK, map[string]string{"stream": s.id})
}

// adopt goes on with an exported stream and holds its prompt in the cache.
func (e *engine) adopt(header exportHeader) (*stream, error) {
	s := &stream{
		request: header.Request, key: header.Key, model: header.Model,
		chat: header.Chat, tokens: header.Tokens, prompt: header.Prompt,
		priority: header.Priority, produced: header.Produced,
		blocks: header.Blocks, changed: make(chan struct{}),
	}
	if err := e.submit(s); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Imported++
	e.cache.store(s.blocks, e.opts.KVTokens-e.active(), time.Now())
	return s, nil
}

// readExport reads an exported KV cache to its end.
func readExport(body io.Reader) (exportHeader, error) {
	var header exportHeader
	start := make([]byte, len(exportMagic)+4)
	if _, err := io.ReadFull(body, start); err != nil || !bytes.HasPrefix(start, []byte(exportMagic)) {
		return header, errBadExport
	}
	size := binary.BigEndian.Uint32(start[len(exportMagic):])
	if size > bodyLimitBytes {
		return header, errBadExport
	}
	description := make([]byte, size)
	if _, err := io.ReadFull(body, description); err != nil {
		return header, errBadExport
	}
	if err := json.Unmarshal(description, &header); err != nil {
		return header, errBadExport
	}
	if !header.valid() {
		return header, errBadExport
	}
	held, err := io.Copy(io.Discard, body)
	if err != nil || held != header.Bytes {
		return header, errBadExport
	}
	return header, nil
}

// valid reports whether the header describes a stream that can go on.
func (h exportHeader) valid() bool {
	return h.Tokens > 0 && h.Tokens <= maxTokens && h.Prompt >= 0 &&
		h.Produced > 0 && h.Produced <= h.Tokens && h.Bytes >= 0
}
