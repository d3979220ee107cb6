// Package observe provides the logger, the metrics registry and the state dump
// that every process of waxwingcart shares.
package observe

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// NewLogger returns a logger that writes one line of key=value pairs per event,
// each with the name and zone of the process.
func NewLogger(w io.Writer, level, process, zone string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("process", process).Str("zone", zone).Value(),
		Writer: &log.ConsoleWriter{
			Formatter: formatLine,
			Writer:    w,
		},
	}
}

// formatLine writes an event as one line of key=value pairs. It adds what the
// library's formatter omits: the key of the message, and the value of fields that
// are true.
func formatLine(out io.Writer, args *log.FormatterArgs) (int, error) {
	for i := range args.KeyValues {
		if args.KeyValues[i].ValueType == 't' {
			args.KeyValues[i].ValueType = 'n'
			args.KeyValues[i].Value = "true"
		}
	}
	message := args.Message
	args.Message = ""
	var line bytes.Buffer
	if _, err := (log.LogfmtFormatter{TimeField: "time"}).Formatter(&line, args); err != nil {
		return 0, err
	}
	line.Truncate(line.Len() - len("\"\"\n"))
	line.WriteString("msg=" + strconv.Quote(message) + "\n")
	return out.Write(line.Bytes())
}

// Milliseconds returns a duration in milliseconds, including fractions.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// Dumper returns one part of a process's state as a value to encode as JSON.
type Dumper func() any

// Dump collects the state dump of a process from its parts.
type Dump struct {
	mu    sync.Mutex
	parts map[string]Dumper
}

// NewDump returns an empty state dump.
func NewDump() *Dump {
	return &Dump{parts: make(map[string]Dumper)}
}

// Add registers the dumper of a part under a name.
func (d *Dump) Add(name string, dumper Dumper) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts[name] = dumper
}

// State returns the state of every part.
func (d *Dump) State() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := make(map[string]any, len(d.parts))
	for name, dumper := range d.parts {
		state[name] = dumper()
	}
	return state
}

// ServeHTTP writes the state as JSON.
func (d *Dump) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(d.State())
}

// Routes adds the metrics endpoint to a router.
func Routes(router *mux.Router, registry *prometheus.Registry) {
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
}
