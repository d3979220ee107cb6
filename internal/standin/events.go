package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// chunk is one event of a stream, or a whole answer.
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

// sendEvents sends the stream's events from an offset on, as they come.
func (m *modelServer) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	sent := 0
	for {
		produced, at, changed := m.engine.look(s)
		if !m.server.faults.speak(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		for ; offset < produced; offset++ {
			if sent == 0 {
				m.dropAfter(s)
			}
			m.server.faults.cut(sent)
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
		if at == phaseCancelled || at == phasePaused {
			panic(http.ErrAbortHandler)
		}
		if err := controller.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
		if !m.await(r, changed) {
			panic(http.ErrAbortHandler)
		}
	}
}

// await waits for progress of the stream or a change of its connection's
// silence, and reports false once the request has ended.
func (m *modelServer) await(r *http.Request, changed <-chan struct{}) bool {
	_, spoken := m.server.faults.isSilent(r.Context())
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
	case <-spoken:
	}
	return true
}

// dropAfter runs the stream to its end and closes the connection if that
// fault is set.
func (m *modelServer) dropAfter(s *stream) {
	m.server.faults.mu.Lock()
	drop := m.server.faults.dropAfterRun
	m.server.faults.mu.Unlock()
	for drop {
		_, at, changed := m.engine.look(s)
		if at == phaseDone || at == phaseCancelled {
			panic(http.ErrAbortHandler)
		}
		<-changed
	}
}

// sendWhole sends the answer in one piece once it is complete.
func (m *modelServer) sendWhole(w http.ResponseWriter, r *http.Request, s *stream) {
	for {
		_, at, changed := m.engine.look(s)
		if at == phaseDone {
			break
		}
		if at == phaseCancelled || !m.await(r, changed) {
			panic(http.ErrAbortHandler)
		}
	}
	m.server.faults.dropped()
	if !m.server.faults.speak(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, s.whole())
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
	made := chunk{ID: s.id, Object: "text_completion", Model: s.model, Choices: []choice{{}}}
	if s.chat {
		made.Object = "chat.completion.chunk"
		made.Choices[0].Delta = &chatMessage{Role: "assistant", Content: text}
	} else {
		made.Choices[0].Text = &text
	}
	if offset == s.tokens-1 {
		made.Choices[0].FinishReason = &finishLength
		made.Usage = s.usage()
	}
	return made
}

// whole returns the complete answer.
func (s *stream) whole() chunk {
	var text strings.Builder
	for i := range s.tokens {
		text.WriteString(Token(s.key, i))
	}
	answer := text.String()
	made := chunk{ID: s.id, Object: "text_completion", Model: s.model, Usage: s.usage()}
	made.Choices = []choice{{FinishReason: &finishLength}}
	if s.chat {
		made.Object = "chat.completion"
		made.Choices[0].Message = &chatMessage{Role: "assistant", Content: answer}
	} else {
		made.Choices[0].Text = &answer
	}
	return made
}

func (s *stream) usage() *usage {
	return &usage{s.prompt, s.tokens, s.prompt + s.tokens}
}
