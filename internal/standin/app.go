package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// appServer stands in for an application server whose claims and bookings
// must not be repeated.
type appServer struct {
	server *Server
	boot   string
	slots  chan struct{}
	load   *delayLine[int]

	mu     sync.Mutex
	active int
	serial int
}

func newAppServer(s *Server) *appServer {
	return &appServer{
		server: s,
		boot:   strconv.FormatInt(time.Now().UnixNano(), 36),
		slots:  make(chan struct{}, s.opts.Slots),
		load:   newDelayLine[int](s.opts.ReportLag),
	}
}

func (a *appServer) register(router *mux.Router) {
	router.HandleFunc("/claims", a.post).Methods(http.MethodPost)
	router.HandleFunc("/bookings", a.post).Methods(http.MethodPost)
	router.HandleFunc("/records/{id}", a.record).Methods(http.MethodGet)
	router.HandleFunc("/status", a.status).Methods(http.MethodGet)
	router.HandleFunc("/standin/stats", a.stats).Methods(http.MethodGet)
}

// post runs a claim or booking once and answers with its serial number and
// the body's digest.
func (a *appServer) post(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimitBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if !a.enter(w) {
		return
	}
	defer a.leave()
	a.server.runs.startedBody(requestID(r), BodyDigest(body))
	a.mu.Lock()
	a.serial++
	serial := a.serial
	a.mu.Unlock()
	// The run goes on without its caller.
	time.Sleep(a.server.opts.RunTime)
	a.server.faults.dropped()
	if !a.server.faults.speak(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, map[string]any{
		"id":     a.server.opts.Name + "-" + strconv.Itoa(serial),
		"digest": BodyDigest(body),
	})
}

// record looks up a record; what it answers follows from the ID alone.
func (a *appServer) record(w http.ResponseWriter, r *http.Request) {
	if !a.enter(w) {
		return
	}
	defer a.leave()
	if !sleep(r.Context(), a.server.opts.RunTime) {
		return
	}
	a.server.faults.dropped()
	id := mux.Vars(r)["id"]
	writeJSON(w, http.StatusOK, map[string]any{"id": id, "digest": RecordDigest(id)})
}

// stats gives an application's statistics, which has no tokens to count.
func (a *appServer) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, engineStats{})
}

// RecordDigest returns the digest that a lookup of the record gives.
func RecordDigest(id string) string {
	return digest("record " + id)[:16]
}

// BodyDigest returns the digest that a claim or booking of the body gives.
func BodyDigest(body []byte) string {
	return digest(string(body))[:16]
}

// enter takes a slot or refuses.
func (a *appServer) enter(w http.ResponseWriter) bool {
	if a.server.faults.isLeaving() {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return false
	}
	select {
	case a.slots <- struct{}{}:
		a.count(1)
		return true
	default:
		refuse(w, http.StatusServiceUnavailable, "all slots are busy")
		return false
	}
}

func (a *appServer) leave() {
	<-a.slots
	a.count(-1)
}

func (a *appServer) count(change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active += change
	a.load.add(time.Now(), a.active)
}

// status reports the load in the shape of vendor gamma.
func (a *appServer) status(w http.ResponseWriter, _ *http.Request) {
	if a.server.faults.sendGarbage(w) {
		return
	}
	phase := "serving"
	if a.server.faults.isLeaving() {
		phase = "leaving"
	}
	a.mu.Lock()
	active := a.load.at(time.Now())
	a.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"load":           map[string]int{"active": active, "limit": a.server.opts.Slots},
		"phase":          phase,
		"boot":           a.boot,
		"reported_s_ago": json.Number(strconv.FormatFloat(a.server.opts.ReportLag.Seconds(), 'f', 3, 64)),
	})
}
