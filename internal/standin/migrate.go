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

// exportHeader describes an exported stream. The bytes of its KV cache follow the
// header.
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
	errNoStream    = errors.New("no such stream")
	errNotDecoding = errors.New("the stream has no KV cache yet or has ended")
	errBadExport   = errors.New("not an exported KV cache")
)

// pause pauses a decoding stream and returns its description for an export. A stream
// that is paused already may be exported again.
func (e *engine) pause(id string) (exportHeader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return exportHeader{}, errNoStream
	}
	if s.phase != phaseDecode && s.phase != phasePaused {
		return exportHeader{}, errNotDecoding
	}
	s.phase = phasePaused
	s.unreadSince = time.Now()
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

// export pauses a stream and sends its header and KV cache.
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
	encodedHeader, err := json.Marshal(header)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	total := int64(len(exportMagic)) + 4 + int64(len(encodedHeader)) + header.Bytes
	w.Header().Set("Content-Length", strconv.FormatInt(total, 10))
	_, _ = io.WriteString(w, exportMagic)
	_ = binary.Write(w, binary.BigEndian, uint32(len(encodedHeader)))
	_, _ = w.Write(encodedHeader)
	m.sendKV(w, r, header.Bytes)
}

// sendKV sends the remaining bytes of a KV cache at the export rate.
func (m *modelServer) sendKV(w http.ResponseWriter, r *http.Request, remaining int64) {
	block := make([]byte, exportChunkBytes)
	for remaining > 0 {
		size := min(remaining, exportChunkBytes)
		if !m.sleepTransfer(r.Context(), size) || !m.server.faults.waitWhileSilent(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(block[:size]); err != nil {
			panic(http.ErrAbortHandler)
		}
		remaining -= size
	}
}

// sleepTransfer sleeps for the time that the transfer of size bytes takes. It reports
// false if ctx ended first.
func (m *modelServer) sleepTransfer(ctx context.Context, size int64) bool {
	seconds := float64(size) / m.server.opts.ExportBytesPerSecond
	return sleep(ctx, time.Duration(seconds*float64(time.Second)))
}

// importKV receives an exported KV cache and continues its stream.
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
	if !m.sleepTransfer(r.Context(), header.Bytes) {
		return
	}
	s, err := m.engine.importStream(header)
	if err != nil {
		refuse(w, http.StatusTooManyRequests, err.Error())
		return
	}
	w.Header().Set("X-Stream-Id", s.id)
	writeJSON(w, http.StatusOK, map[string]string{"stream": s.id})
}

// importStream queues an exported stream under a new ID and adds its prompt to the
// cache.
func (e *engine) importStream(header exportHeader) (*stream, error) {
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
	e.cache.store(s.blocks, e.opts.KVTokens-e.activeTokens(), time.Now())
	return s, nil
}

// readExport reads an export to its end and returns its header.
func readExport(body io.Reader) (exportHeader, error) {
	var header exportHeader
	preamble := make([]byte, len(exportMagic)+4)
	if _, err := io.ReadFull(body, preamble); err != nil || !bytes.HasPrefix(preamble, []byte(exportMagic)) {
		return header, errBadExport
	}
	size := binary.BigEndian.Uint32(preamble[len(exportMagic):])
	if size > bodyLimitBytes {
		return header, errBadExport
	}
	encodedHeader := make([]byte, size)
	if _, err := io.ReadFull(body, encodedHeader); err != nil {
		return header, errBadExport
	}
	if err := json.Unmarshal(encodedHeader, &header); err != nil {
		return header, errBadExport
	}
	if !header.valid() {
		return header, errBadExport
	}
	received, err := io.Copy(io.Discard, body)
	if err != nil || received != header.Bytes {
		return header, errBadExport
	}
	return header, nil
}

// valid reports whether the header describes a stream that can continue.
func (h exportHeader) valid() bool {
	return h.Tokens > 0 && h.Tokens <= maxTokens && h.Prompt >= 0 &&
		h.Produced > 0 && h.Produced <= h.Tokens && h.Bytes >= 0
}
