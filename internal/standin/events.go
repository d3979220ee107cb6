package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// chunk is one event of a stream, or a complete response.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

var finishLength = "length"

// sendEvents sends the stream's events from an offset on as they are generated.
func (m *modelServer) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	sent := 0
	for {
		produced, current, changed := m.engine.progress(s)
		if !m.server.faults.waitWhileSilent(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		for ; offset < produced; offset++ {
			if sent == 0 {
				m.dropStreamAfterRun(s)
			}
			m.server.faults.truncate(sent)
			if m.server.faults.isGarbage() {
				fmt.Fprintf(w, "id: %d\ndata: {garbage\n\n", offset)
			} else if err := writeEvent(w, offset, s.chunk(offset)); err != nil {
				panic(http.ErrAbortHandler)
			}
			sent++
		}
		if offset >= s.tokens {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if current == phaseCancelled || current == phasePaused {
			panic(http.ErrAbortHandler)
		}
		if err := controller.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
		if !m.awaitChange(r, changed) {
			panic(http.ErrAbortHandler)
		}
	}
}

// awaitChange waits for progress of the stream or a change of the faults. It reports
// false if the request ended first.
func (m *modelServer) awaitChange(r *http.Request, changed <-chan struct{}) bool {
	_, silenceChanged := m.server.faults.isSilent(r.Context())
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
	case <-silenceChanged:
	}
	return true
}

// dropStreamAfterRun waits until the stream has ended and then aborts the connection,
// if the fault DropAfterRun is set.
func (m *modelServer) dropStreamAfterRun(s *stream) {
	m.server.faults.mu.Lock()
	drop := m.server.faults.dropAfterRun
	m.server.faults.mu.Unlock()
	for drop {
		_, current, changed := m.engine.progress(s)
		if current == phaseDone || current == phaseCancelled {
			panic(http.ErrAbortHandler)
		}
		<-changed
	}
}

// sendFullResponse sends the answer in one response once it is complete.
func (m *modelServer) sendFullResponse(w http.ResponseWriter, r *http.Request, s *stream) {
	for {
		_, current, changed := m.engine.progress(s)
		if current == phaseDone {
			break
		}
		if current == phaseCancelled || !m.awaitChange(r, changed) {
			panic(http.ErrAbortHandler)
		}
	}
	m.server.faults.dropResponse()
	if !m.server.faults.waitWhileSilent(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, s.fullResponse())
}

// writeEvent writes one server-sent event.
func writeEvent(w http.ResponseWriter, offset int, value chunk) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	return err
}

// chunk returns the event at an offset.
func (s *stream) chunk(offset int) chunk {
	text := Token(s.key, offset)
	c := chunk{ID: s.id, Object: "text_completion", Model: s.model, Choices: []choice{{}}}
	if s.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	if offset == s.tokens-1 {
		c.Choices[0].FinishReason = &finishLength
		c.Usage = s.usage()
	}
	return c
}

// fullResponse returns the body of a response with the complete answer.
func (s *stream) fullResponse() chunk {
	var text strings.Builder
	for i := range s.tokens {
		text.WriteString(Token(s.key, i))
	}
	content := text.String()
	c := chunk{ID: s.id, Object: "text_completion", Model: s.model, Usage: s.usage()}
	c.Choices = []choice{{FinishReason: &finishLength}}
	if s.chat {
		c.Object = "chat.completion"
		c.Choices[0].Message = &chatMessage{Role: "assistant", Content: content}
	} else {
		c.Choices[0].Text = &content
	}
	return c
}

func (s *stream) usage() *usage {
	return &usage{s.prompt, s.tokens, s.prompt + s.tokens}
}
