package entry

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"

	"waxwingcart/internal/configsource"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// logText collects the lines of a log.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// lines returns the lines that contain a text.
func (l *logText) lines(containing string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, containing) {
			found = append(found, line)
		}
	}
	return found
}

// logTo makes an entry log to the returned text at the level info.
func logTo(e *Entry) *logText {
	text := &logText{}
	e.logger = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: text}}
	return text
}

// The log has one line when the replica that confirmed the configuration fails,
// however many calls fail afterwards, and one when another replica confirms it.
func TestLostSourceIsLoggedOnce(t *testing.T) {
	e := newStartingEntry(rpc.NewClient(""))
	text := logTo(e)
	e.config.sourceConfirmed("first")
	for range 10 {
		e.config.sourceFailed("other", configsource.ErrUnconfirmed)
		e.config.sourceFailed("first", errors.New("silent"))
	}
	e.config.sourceConfirmed("second")
	e.config.sourceConfirmed("second")
	lost, again := text.lines("no longer does"), text.lines("confirms the configuration again")
	if len(lost) != 1 || !strings.Contains(lost[0], "first") || !strings.Contains(lost[0], "silent") || !strings.Contains(lost[0], "unconfirmed_ms") {
		t.Errorf("got lines %q, want one that names the replica, the failure and the time", lost)
	}
	if len(again) != 1 || !strings.Contains(again[0], "second") || !strings.Contains(again[0], "unconfirmed_ms") {
		t.Errorf("got lines %q, want one that names the replica and the time", again)
	}
}

// fetchCount returns the number of an entry's calls to replicas with a result.
func fetchCount(t *testing.T, e *Entry, result string) float64 {
	t.Helper()
	families, err := e.opts.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "waxwingcart_entry_config_fetches_total" {
			continue
		}
		for _, metric := range family.Metric {
			if metric.Label[0].GetValue() == result {
				return metric.Counter.GetValue()
			}
		}
	}
	return 0
}

// Calls to replicas are counted by result.
func TestFetchesAreCounted(t *testing.T) {
	e := newStartingEntry(rpc.NewClient(""))
	expired, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	_, timeout := e.replicas.Stub(serveReplica(t, &leaderReplica{})).FetchConfig(expired, &wire.FetchConfigRequest{})
	if got := configsource.Result(false, timeout); got != configsource.FetchTimedOut {
		t.Errorf("got %q for a call that ran out of time, want %q", got, configsource.FetchTimedOut)
	}
	for result, address := range map[string]string{
		configsource.FetchConfirmed:   serveReplica(t, &leaderReplica{}),
		configsource.FetchUnconfirmed: serveReplica(t, &seedReplica{leader: "127.0.0.1:1"}),
		configsource.FetchUnreachable: "127.0.0.1:1",
		configsource.FetchRefused:     serveReplica(t, &fakeReplica{}),
	} {
		_, _ = e.config.fetchFromReplica(context.Background(), address, e.config.request(0), rpc.NewProgress())
		if got := fetchCount(t, e, result); got != 1 {
			t.Errorf("got %v calls with result %q, want 1", got, result)
		}
	}
}
