// Package process builds and runs one process with the roles from its settings.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"waxwingcart/internal/callerlimits"
	"waxwingcart/internal/detour"
	"waxwingcart/internal/entry"
	"waxwingcart/internal/intake"
	"waxwingcart/internal/observe"
	"waxwingcart/internal/operator"
	"waxwingcart/internal/replica"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/settings"
	"waxwingcart/internal/sockbuf"
	"waxwingcart/internal/wire"
)

// startTimeout limits the start of a process. stopTimeout is practically
// unlimited, because the stop may take as long as requests in flight do.
const (
	startTimeout = 30 * time.Second
	stopTimeout  = 365 * 24 * time.Hour
)

// maxInternalConnections limits the open connections of each listener that does
// not serve callers: those of peers, and those of operators and metrics
// collectors. With few descriptors, the limit is lower.
const maxInternalConnections = 4096

// Names of listeners: callersListener serves callers, peersListener other processes.
const (
	callersListener = "callers"
	peersListener   = "peers"
)

// Keys are the secrets that a process reads from files.
type Keys struct {
	Peer     string
	Operator string
}

// Options returns the fx options that build and run a process.
func Options(process *settings.Process) fx.Option {
	return fx.Options(
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(process),
		fx.Provide(
			newLogger,
			observe.NewRegistry,
			observe.NewDump,
			readKeys,
			newEndlessAnswers,
			newBudget,
			newIntakeMetrics,
			newBuffers,
			newClient,
			newReplicas,
			newReplica,
			newEntry,
			newOperator,
		),
		fx.Invoke(serve, watchReloads),
	)
}

func newLogger(lc fx.Lifecycle, process *settings.Process) *log.Logger {
	buffer := observe.NewBuffer(os.Stdout)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { buffer.Close(); return nil }})
	logger := observe.NewLogger(buffer, process.Log.Level, process.Name, process.Zone)
	// Some libraries log through the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardLogger(logger, "").Writer())
	return logger
}

// standardLogger returns a standard logger that writes the messages of a library
// to the process's log as warnings.
func standardLogger(logger *log.Logger, listener string) *stdlog.Logger {
	library := *logger
	library.Level = max(log.WarnLevel, logger.Level)
	context := log.NewContext(slices.Clone(logger.Context)).Str("step", "library")
	if listener != "" {
		context = context.Str("listener", listener)
	}
	library.Context = context.Value()
	return library.Std("", 0)
}

func readKeys(process *settings.Process) (Keys, error) {
	if process.Trust == settings.TrustNetwork {
		return Keys{}, nil
	}
	peer, err := ReadKey(process.PeerKeyFile)
	if err != nil {
		return Keys{}, fmt.Errorf("peer_key_file: %w", err)
	}
	operatorKey, err := ReadKey(process.OperatorKeyFile)
	if err != nil {
		return Keys{}, fmt.Errorf("operator_key_file: %w", err)
	}
	return Keys{Peer: peer, Operator: operatorKey}, nil
}

// ReadKey reads a secret from a file.
func ReadKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return "", fmt.Errorf("read key: %s is empty, expected a secret", path)
	}
	return key, nil
}

func newClient(keys Keys, endless *endlessAnswers, buffers *sockbuf.Buffers) *rpc.Client {
	client := rpc.NewClient(keys.Peer)
	client.SetBuffers(buffers)
	client.OnEndless(endless.from(sourceProcess))
	return client
}

func newReplicas(process *settings.Process, client *rpc.Client) *rpc.Replicas {
	return rpc.NewReplicas(client, replicaAddresses(process))
}

func addresses(peers []settings.Peer) []string {
	list := make([]string, 0, len(peers))
	for _, peer := range peers {
		list = append(list, peer.Address)
	}
	return list
}

// newReplica returns nil if the process does not have the replica role.
func newReplica(lc fx.Lifecycle, shutdown fx.Shutdowner, process *settings.Process, client *rpc.Client, endless *endlessAnswers, buffers *sockbuf.Buffers, logger *log.Logger, registry *prometheus.Registry, dump *observe.Dump) (*replica.Replica, error) {
	if !process.HasRole(settings.RoleReplica) {
		return nil, nil
	}
	opts := replica.Options{
		Self:      replica.Peer{VM: process.Name, Zone: process.Zone, Address: process.Listen.PeerAddress()},
		DataDir:   process.DataDir,
		Peers:     replicaPeers(process),
		Voters:    voterCount(process),
		Bootstrap: mayBootstrap(process),
		Platform:  process.Platform,
		Client:    client,
		Logger:    logger,
		Registry:  registry,
		Fail:      func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) },
	}
	opts.ReplaceAfter = milliseconds(process.ReplaceVoterMS)
	configureHostedReplica(process, endless, buffers, &opts)
	r, err := replica.New(opts)
	if err != nil {
		return nil, err
	}
	dump.Add("replica", func() any { return r.State() })
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { r.Start(); return nil },
		OnStop:  r.Stop,
	})
	return r, nil
}

// newEntry returns nil if the process does not have the entry role.
func newEntry(lc fx.Lifecycle, process *settings.Process, keys Keys, client *rpc.Client, replicas *rpc.Replicas, endless *endlessAnswers, logger *log.Logger, registry *prometheus.Registry, dump *observe.Dump, budget *intake.Budget, buffers *sockbuf.Buffers) *entry.Entry {
	if !process.HasRole(settings.RoleEntry) {
		return nil
	}
	opts := entry.Options{
		VM:           process.Name,
		Zone:         process.Zone,
		PeerAddress:  process.Listen.PeerAddress(),
		Replicas:     replicas,
		DataDir:      process.DataDir,
		Platform:     process.Platform,
		PeerSecret:   keys.Peer,
		HeaderLimit:  process.Limits.HeaderBytes,
		BodyLimit:    process.Limits.BodyBytes,
		BodyTimeout:  milliseconds(process.Timeouts.ReadBodyMS),
		WriteTimeout: milliseconds(process.Timeouts.WriteMS),
		Intake:       budget,
		Buffers:      buffers,
		Client:       client,
		Logger:       logger,
		Registry:     registry,
	}
	for _, peer := range process.Entries {
		if peer.VM != process.Name {
			opts.Peers = append(opts.Peers, entry.Peer(peer))
		}
	}
	configureHostedEntry(process, endless, &opts)
	e := entry.New(opts)
	dump.Add("entry", func() any { return e.State() })
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { e.Start(); return nil },
		OnStop:  func(context.Context) error { e.Stop(); return nil },
	})
	return e
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func newOperator(e *entry.Entry, r *replica.Replica, replicas *rpc.Replicas) *operator.Service {
	return &operator.Service{Entry: e, Replica: r, Replicas: replicas}
}

// components holds what serve needs to set up the process's servers.
type components struct {
	fx.In

	Lifecycle fx.Lifecycle
	Process   *settings.Process
	Keys      Keys
	Logger    *log.Logger
	Registry  *prometheus.Registry
	Dump      *observe.Dump
	Replica   *replica.Replica
	Entry     *entry.Entry
	Operator  *operator.Service
	Budget    *intake.Budget
	Intake    *intake.Metrics
	Buffers   *sockbuf.Buffers
}

// serve adds the servers for the process's addresses. The stop hooks run in
// reverse order: the entry drains first, and the replica resigns before
// the listener for peers closes, because the other voters need this replica's answers.
func serve(p components) error {
	limitMemory(p.Process)
	serveHosted(p)
	serveHTTP(p, "admin", p.Process.Listen.Admin, adminHandler(p), nil)
	serveHTTP(p, peersListener, p.Process.Listen.Peers, peersHandler(p), nil)
	if p.Replica != nil {
		p.Lifecycle.Append(fx.Hook{OnStop: p.Replica.PrepareStop})
	}
	if p.Entry == nil {
		return nil
	}
	config, err := tlsConfig(p.Process)
	if err != nil {
		return err
	}
	serveHTTP(p, callersListener, p.Process.Listen.Callers, callersHandler(p), config)
	p.Lifecycle.Append(fx.Hook{OnStop: drainEntry(p)})
	return nil
}

// callersHandler returns the handler for the requests of callers. On a hosting
// platform it follows the platform's routing configuration.
func callersHandler(p components) http.Handler {
	if p.Process.Hosted != nil {
		return http.HandlerFunc(p.Entry.ServeRouted)
	}
	router := mux.NewRouter()
	p.Entry.Routes(router)
	return router
}

func tlsConfig(process *settings.Process) (*tls.Config, error) {
	if process.TLS == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(process.TLS.CertFile, process.TLS.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

func adminHandler(p components) http.Handler {
	key := rpc.NewKey(p.Keys.Operator)
	public := mux.NewRouter()
	observe.Routes(public, p.Registry)
	protected := mux.NewRouter()
	protected.Handle("/dump", buffered(p, 0, p.Dump)).Methods(http.MethodGet)
	service := wire.NewOperatorServer(p.Operator)
	protected.PathPrefix(service.PathPrefix()).Handler(buffered(p, rpc.MaxBodyBytes, service))
	public.PathPrefix("/").Handler(rpc.RequireKey(key, protected))
	return public
}

func peersHandler(p components) http.Handler {
	router := mux.NewRouter()
	if p.Replica != nil {
		service := wire.NewReplicaServer(p.Replica.Service(), twirp.WithServerInterceptors(intake.HoldAnswers))
		router.PathPrefix(service.PathPrefix()).Handler(buffered(p, rpc.MaxBodyBytes, service))
	}
	if p.Entry != nil {
		service := wire.NewPeerServer(p.Entry.PeerService(), twirp.WithServerInterceptors(intake.HoldAnswers))
		router.PathPrefix(service.PathPrefix()).Handler(buffered(p, rpc.MaxBodyBytes, service))
		router.Handle(detour.Path, p.Entry.Detour())
	}
	return rpc.RequireKey(rpc.NewKey(p.Keys.Peer), router)
}

// serveHTTP adds an HTTP server to the process's lifecycle.
func serveHTTP(p components, name, address string, handler http.Handler, config *tls.Config) {
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: milliseconds(p.Process.Timeouts.ReadHeaderMS),
		IdleTimeout:       milliseconds(p.Process.Timeouts.IdleMS),
		MaxHeaderBytes:    p.Process.Limits.HeaderBytes,
		ErrorLog:          standardLogger(p.Logger, name),
		ConnContext:       intake.ConnContext,
		ConnState:         intake.ConnState,
	}
	if name == callersListener && p.Process.Hosted != nil {
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return entry.ConnContext(intake.ConnContext(ctx, conn), conn)
		}
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			entry.ConnState(conn, state)
			intake.ConnState(conn, state)
		}
		// The connections follow the limit of the document in force.
		server.MaxHeaderBytes = callerlimits.MaxHeaderBytes
	}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return startServer(p, name, address, server) },
		OnStop:  server.Shutdown,
	})
}

// startServer listens on the address and serves in the background.
func startServer(p components, name, address string, server *http.Server) error {
	listener, err := listen(p, name, address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	if name == callersListener && p.Process.Hosted != nil {
		listener = p.Entry.CallerListener(listener)
	}
	if server.TLSConfig != nil {
		listener = tls.NewListener(listener, server.TLSConfig)
	}
	p.Logger.Info().Str("step", "listen").Str("listener", name).Str("address", listener.Addr().String()).Msg("listening")
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.Logger.Error().Str("step", "serve").Str("listener", name).Err(err).Msg("listener failed")
		}
	}()
	return nil
}
