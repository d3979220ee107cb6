// Package standin implements stand-ins for tests: small HTTP servers that simulate
// the systems that waxwingcart works with (model engines, application servers and the
// platform). They serve the API of docs/BACKENDS.md, give deterministic answers that
// any caller can check, count what they run, and inject faults on request.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"
)

const (
	bodyLimitBytes    = 8 << 20
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Server is a stand-in of one kind.
type Server struct {
	opts   Options
	runs   *runLog
	faults *faults
	// versions holds the fault of the stand-in's software version.
	versions *versionFaults
	router   *mux.Router
}

// New returns a stand-in that is not listening yet.
func New(opts Options) (*Server, error) {
	if err := opts.Validate(); err != nil {
		return nil, fmt.Errorf("standin %s: %w", opts.Name, err)
	}
	s := &Server{opts: opts, runs: newRunLog(), faults: newFaults(), versions: &versionFaults{version: opts.Version}, router: mux.NewRouter()}
	s.router.HandleFunc("/standin/runs", s.runs.handle).Methods(http.MethodGet)
	s.faults.onVersion = s.versions.set
	s.router.HandleFunc("/standin/fault", s.faults.handle).Methods(http.MethodPost)
	switch opts.Kind {
	case KindModel:
		newModelServer(s).register(s.router)
	case KindApp:
		newAppServer(s).register(s.router)
	case KindPlatform:
		if err := s.registerPlatform(); err != nil {
			return nil, fmt.Errorf("standin %s: %w", opts.Name, err)
		}
	}
	return s, nil
}

// Handler returns the stand-in's HTTP handler. The http.Server that serves it should
// use Server.ConnContext, without which Silent affects later connections too.
func (s *Server) Handler() http.Handler {
	return s.faults.wrap(s.versions.wrap(s.router))
}

// ConnContext numbers a connection. It is for use as the ConnContext of an
// http.Server.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return s.faults.connContext(ctx)
}

// Run listens on the configured address and serves until ctx ends.
func Run(ctx context.Context, opts Options) error {
	s, err := New(opts)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return fmt.Errorf("standin %s: listen: %w", opts.Name, err)
	}
	log.Info().Str("name", opts.Name).Str("kind", opts.Kind).Str("zone", opts.Zone).
		Str("address", listener.Addr().String()).Msg("stand-in listening")
	return s.Serve(ctx, listener)
}

// Serve serves on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ConnContext:       s.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("standin %s: serve: %w", s.opts.Name, err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("standin %s: serve: %w", s.opts.Name, err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON decodes the request body. It reports false after it has responded with
// status 400 to a body that is invalid or too large.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimitBytes)).Decode(value)
	if err == nil {
		return true
	}
	writeError(w, http.StatusBadRequest, "body: "+err.Error())
	return false
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": message})
}

// refuse responds that the request did not run and may be retried.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set("X-Not-Started", "1")
	w.Header().Set("Retry-After", "1")
	writeError(w, status, message)
}
