package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"waxwingcart/internal/standin"
)

// The routes of streams: streams of pathDossier and pathMemo are taken up by callers, those
// of pathReply run once. Memos have a service with a single backend server. Documents move
// pathNotice between both services.
const (
	pathDossier   = "/dossiers/"
	pathMemo      = "/memos/"
	pathReply     = "/replies/"
	pathNotice    = "/notices/"
	serviceModels = "models"
	serviceSingle = "single"

	streamEvents  = 20
	eventInterval = 40 * time.Millisecond
	// streamEngines is the number of backend servers of serviceModels.
	streamEngines = 4
	firstRelease  = "v1"
)

// streamRoutes returns the routes of streams under a document's version, made from plain ones.
func streamRoutes(version int, route func(path, kind, service string) map[string]any) []map[string]any {
	dossier, reply := route(pathDossier, "stream", serviceModels), route(pathReply, "stream", serviceModels)
	memo := route(pathMemo, "stream", serviceSingle)
	notice := route(pathNotice, "stream", []string{serviceModels, serviceSingle}[version%2])
	dossier["resumable"], memo["resumable"], notice["resumable"], reply["attempts"] = true, true, true, 1
	routes := []map[string]any{dossier, memo, notice, reply}
	for _, r := range routes {
		r["timeout_ms"] = streamTimeoutMS
	}
	return routes
}

// mood is what a sound backend server does besides serving.
type mood struct {
	mu sync.Mutex
	// silent is open while the server is silent, spoke is when it ended.
	silent chan struct{}
	spoke  time.Time
	// pause is the end of the pause that it asks for, leaving that it says that it leaves.
	pause   time.Time
	leaving bool
	// endless is the kind of answers without end that it sends, until endlessTo.
	endless   string
	endlessTo time.Time
}

// answersEndless sends an answer without end if the server does.
func (m *mood) answersEndless(w http.ResponseWriter, id string) bool {
	m.mu.Lock()
	kind, left := m.endless, time.Until(m.endlessTo)
	m.mu.Unlock()
	if left <= 0 {
		return false
	}
	standin.SendEndless(w, kind, "Waxwingcart-Request-Id: "+id+"\r\n")
	return true
}

// await waits until the server is not silent.
func (m *mood) await(ctx context.Context) {
	for {
		m.mu.Lock()
		silent := m.silent
		m.mu.Unlock()
		if silent == nil {
			return
		}
		select {
		case <-silent:
		case <-ctx.Done():
			return
		}
	}
}

// quietRest is the shortest time between two silences of a server: together they would be
// longer than a sound one's.
const quietRest = time.Second

// quiet makes the server silent for a time.
func (m *mood) quiet(ctx context.Context, d time.Duration) {
	silent := make(chan struct{})
	m.mu.Lock()
	if m.silent != nil || time.Since(m.spoke) < quietRest {
		m.mu.Unlock()
		return
	}
	m.silent = silent
	m.mu.Unlock()
	sleep(ctx, d)
	m.mu.Lock()
	m.silent, m.spoke = nil, time.Now()
	m.mu.Unlock()
	close(silent)
}

// refuses answers a request in a pause. It adds the word that the server leaves.
func (m *mood) refuses(w http.ResponseWriter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	left := time.Until(m.pause)
	if left <= 0 {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 2, 64))
	w.Header().Set("Waxwingcart-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// build names the service and the version, "" for a server without a version.
func (e *engine) build() string {
	if e.version == "" {
		return ""
	}
	return e.service + "/" + e.version
}

// stream sends events that name the version. It does not check at which version the
// stream began.
func (e *engine) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i < streamEvents; i++ {
		e.mood.await(req.Context())
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s part-%d\n\n", i, e.build(), i)
		_ = http.NewResponseController(w).Flush()
		sleep(req.Context(), eventInterval)
		if req.Context().Err() != nil {
			return
		}
	}
}

// beginStreams lists the first backend servers of streams.
func (r *run) beginStreams() error {
	if !r.plan.Streams {
		return nil
	}
	for range streamEngines {
		if err := r.platform.addVersion(serviceModels, firstRelease); err != nil {
			return err
		}
	}
	return r.platform.addVersion(serviceSingle, firstRelease)
}

// ready returns the listed backend servers of a service, oldest first.
func (p *platform) ready(service string) []*engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.engines), func(e *engine) bool { return e.service != service || e.draining })
}

// changeMood makes backend servers do what an event says.
func (r *run) changeMood(ctx context.Context, e Event) {
	engines := r.platform.ready(e.Target)
	if len(engines) == 0 {
		return
	}
	if e.Kind == KindRelease {
		if r.platform.addVersion(e.Target, e.Version) == nil {
			r.platform.remove(func(other *engine) bool { return other == engines[0] })
		}
		return
	}
	one := engines[rand.IntN(len(engines))]
	switch e.Kind {
	case KindQuiet:
		if e.Amount > 0 {
			engines = []*engine{one}
		}
		var all sync.WaitGroup
		for _, engine := range engines {
			all.Go(func() {
				defer r.history.begin(r.now, engine.id, string(e.Kind), EffectMoment)()
				engine.mood.quiet(ctx, e.For)
			})
		}
		all.Wait()
	case KindRefuse:
		defer r.history.begin(r.now, one.id, string(e.Kind), EffectMoment)()
		one.mood.mu.Lock()
		one.mood.pause = time.Now().Add(e.For)
		one.mood.mu.Unlock()
		sleep(ctx, e.For)
	case KindEndless:
		defer r.history.begin(r.now, one.id, string(e.Kind), EffectMoment)()
		one.mood.mu.Lock()
		one.mood.endless, one.mood.endlessTo = standin.EndlessKinds[e.Amount], time.Now().Add(e.For)
		one.mood.mu.Unlock()
		sleep(ctx, e.For)
	case KindLeave:
		r.leave(ctx, e, one)
	}
}

// leave makes a backend server say that it leaves, and lists another one of its version.
// The list shows it as draining some time later.
func (r *run) leave(ctx context.Context, e Event, leaving *engine) {
	r.history.begin(r.now, leaving.id, string(e.Kind), EffectMoment)
	if r.platform.addVersion(leaving.service, leaving.version) != nil {
		return
	}
	leaving.mood.mu.Lock()
	leaving.mood.leaving = true
	leaving.mood.mu.Unlock()
	sleep(ctx, e.For)
	r.platform.remove(func(other *engine) bool { return other == leaving })
}
