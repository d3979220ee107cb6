package standin

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// endlessAnswer is an answer that begins and then repeats the same bytes.
type endlessAnswer struct {
	beginning, repeated string
	// pause is the time between two repetitions.
	pause time.Duration
}

// slowPause is the time between two bytes of a slow answer.
const slowPause = time.Second

// endlessAnswers holds the answers without end by their name in a FaultRequest.
var endlessAnswers = map[string]endlessAnswer{
	"head":    {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1<<10), 0},
	"interim": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 50), 0},
	"framing": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<10), 0},
	"event":   {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Stream-Id: s\r\n\r\nid: 0\ndata: ", strings.Repeat("x", 1<<10), 0},
	"body":    {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 32<<10), 0},
	"slow":    {"HTTP/1.1 200 OK\r\n\r\n", "x", slowPause},
}

// EndlessKinds are the kinds of answers that SendEndless sends as fast as it can.
var EndlessKinds = []string{"body", "event", "framing", "head", "interim"}

// SendEndless sends an answer of a kind until the caller closes the connection. The header
// lines, each with its line end, follow the status line.
func SendEndless(w http.ResponseWriter, kind, header string) {
	answer := endlessAnswers[kind]
	answer.beginning = strings.Replace(answer.beginning, "200 OK\r\n", "200 OK\r\n"+header, 1)
	sendEndless(w, answer)
}

// sendEndless sends an answer until the caller closes the connection.
func sendEndless(w http.ResponseWriter, answer endlessAnswer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, answer.beginning)
	for ; err == nil; time.Sleep(answer.pause) {
		_, err = io.WriteString(conn, answer.repeated)
	}
}
