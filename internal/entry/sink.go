package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"waxwingcart/internal/chat"
	"waxwingcart/internal/core/eventid"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/intake"
)

// sink writes a request's answer to its caller.
type sink interface {
	// token writes one token; position is the answer's position after it.
	token(data []byte, position request.Position)
	// complete ends the whole answer.
	complete(a *answer)
	// refuse ends with an outcome that is not the whole answer. The recorded
	// answer is an earlier one whose body was not kept, or nil.
	refuse(outcome request.Outcome, recorded *answer)
}

// appSink writes an application's answer.
type appSink struct {
	w            http.ResponseWriter
	share        *intake.Share
	requestID    string
	writeTimeout time.Duration
}

func (s *appSink) token([]byte, request.Position) {}

func (s *appSink) complete(a *answer) {
	header := s.w.Header()
	for name, values := range a.header {
		if !hopByHop[name] {
			header[name] = values
		}
	}
	header.Set(headerRequestID, s.requestID)
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	writeWithTimeout(s.w, s.writeTimeout, s.share, a.unheld(), func() {
		s.w.WriteHeader(a.status)
		s.share.WriteBody(s.w, a.body)
		_ = http.NewResponseController(s.w).Flush()
	})
}

func (s *appSink) refuse(outcome request.Outcome, recorded *answer) {
	writeRefusal(s.w, s.requestID, outcome, recorded)
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// streamSink writes a model's answer as server-sent events.
type streamSink struct {
	w            http.ResponseWriter
	share        *intake.Share
	requestID    string
	service      string
	incarnations func(server string) string
	codec        *eventid.Codec
	writeTimeout time.Duration
	begun        bool
}

func (s *streamSink) token(data []byte, position request.Position) {
	s.begin()
	id := s.codec.Encode(eventid.ID{
		Service:     s.service,
		Server:      position.Server,
		Incarnation: s.incarnations(position.Server),
		Stream:      position.Stream,
		Offset:      uint64(position.Next - 1),
		Sum:         position.Sum,
	})
	s.event(id, "", data)
}

func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(headerRequestID, s.requestID)
	s.w.WriteHeader(http.StatusOK)
}

// event writes and flushes one event. A caller that does not read is
// disconnected after the write timeout.
func (s *streamSink) event(id, kind string, data []byte) {
	var b strings.Builder
	b.Grow(len(id) + len(data) + 32)
	if id != "" {
		b.WriteString("id: " + id + "\n")
	}
	if kind != "" {
		b.WriteString("event: " + kind + "\n")
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	// The event is held since it was queued.
	writeWithTimeout(s.w, s.writeTimeout, s.share, 0, func() {
		_, _ = s.w.Write([]byte(b.String()))
		_ = http.NewResponseController(s.w).Flush()
	})
}

// writeWithTimeout bounds a write to a caller that may not read. The deadline
// is cleared afterwards, because the connection may serve another request.
// Bytes of the answer are held by the share meanwhile.
func writeWithTimeout(w http.ResponseWriter, timeout time.Duration, share *intake.Share, bytes int, write func()) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(timeout))
	share.Write(bytes, write)
	_ = controller.SetWriteDeadline(time.Time{})
}

func (s *streamSink) complete(*answer) {
	s.begin()
	s.event("", "", []byte("[DONE]"))
}

// refuse ends a stream that has begun with an error event and without [DONE],
// so that a truncated answer never looks complete.
func (s *streamSink) refuse(outcome request.Outcome, _ *answer) {
	if !s.begun {
		writeRefusal(s.w, s.requestID, outcome, nil)
		return
	}
	data, _ := json.Marshal(errorBody{Error: detailOf(s.requestID, outcome)})
	s.event("", "error", data)
}

// completionSink collects a model's answer for a caller that does not stream.
type completionSink struct {
	w            http.ResponseWriter
	share        *intake.Share
	requestID    string
	writeTimeout time.Duration
	chat         bool
	promptTokens int
	text         strings.Builder
	model        string
	finishReason string
	tokens       int
}

func (s *completionSink) token(data []byte, _ request.Position) {
	var parsed chat.Chunk
	if json.Unmarshal(data, &parsed) != nil {
		return
	}
	s.tokens++
	s.text.WriteString(parsed.Text())
	s.model = parsed.Model
	for _, choice := range parsed.Choices {
		if choice.FinishReason != "" {
			s.finishReason = choice.FinishReason
		}
	}
}

// completion is the answer to a request that does not stream.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         string             `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (s *completionSink) complete(*answer) {
	choice := completionChoice{FinishReason: s.finishReason}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: s.text.String()}
	} else {
		choice.Text = s.text.String()
	}
	body := completion{
		ID:      s.requestID,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   s.model,
		Choices: []completionChoice{choice},
		Usage:   completionUsage{s.promptTokens, s.tokens, s.promptTokens + s.tokens},
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(headerRequestID, s.requestID)
	writeWithTimeout(s.w, s.writeTimeout, s.share, s.text.Len(), func() {
		_ = json.NewEncoder(s.w).Encode(body)
		_ = http.NewResponseController(s.w).Flush()
	})
}

func (s *completionSink) refuse(outcome request.Outcome, _ *answer) {
	writeRefusal(s.w, s.requestID, outcome, nil)
}
