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

// appServer simulates an application server whose claims and bookings must not be
// run twice.
type appServer struct {
	server *Server
	bootID string
	slots  chan struct{}
	load   *delayedValue[int]

	mu     sync.Mutex
	active int
	serial int
}

func newAppServer(s *Server) *appServer {
	return &appServer{
		server: s,
		bootID: strconv.FormatInt(time.Now().UnixNano(), 36),
		slots:  make(chan struct{}, s.opts.Slots),
		load:   newDelayedValue[int](s.opts.ReportLag),
	}
}

func (a *appServer) register(router *mux.Router) {
	router.HandleFunc("/claims", a.post).Methods(http.MethodPost)
	router.HandleFunc("/bookings", a.post).Methods(http.MethodPost)
	router.HandleFunc("/records/{id}", a.lookup).Methods(http.MethodGet)
	router.HandleFunc("/status", a.status).Methods(http.MethodGet)
	router.HandleFunc("/standin/stats", a.stats).Methods(http.MethodGet)
}

// post runs a claim or booking and responds with an ID that holds its serial number
// and with the digest of the body.
func (a *appServer) post(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimitBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if !a.acquireSlot(w) {
		return
	}
	defer a.releaseSlot()
	a.server.runs.countWithBody(requestID(r), BodyDigest(body))
	a.mu.Lock()
	a.serial++
	serial := a.serial
	a.mu.Unlock()
	// The run continues if the caller disconnects.
	time.Sleep(a.server.opts.RunTime)
	a.server.faults.dropResponse()
	if !a.server.faults.waitWhileSilent(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, map[string]any{
		"id":     a.server.opts.Name + "-" + strconv.Itoa(serial),
		"digest": BodyDigest(body),
	})
}

// lookup returns a record. Its content depends on the ID only.
func (a *appServer) lookup(w http.ResponseWriter, r *http.Request) {
	if !a.acquireSlot(w) {
		return
	}
	defer a.releaseSlot()
	if !sleep(r.Context(), a.server.opts.RunTime) {
		return
	}
	a.server.faults.dropResponse()
	id := mux.Vars(r)["id"]
	writeJSON(w, http.StatusOK, map[string]any{"id": id, "digest": RecordDigest(id)})
}

// stats returns empty statistics: an application processes no tokens.
func (a *appServer) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, engineStats{})
}

// RecordDigest returns the digest in the response to a lookup of the record.
func RecordDigest(id string) string {
	return digest("record " + id)[:16]
}

// BodyDigest returns the digest in the response to a claim or booking with the body.
func BodyDigest(body []byte) string {
	return digest(string(body))[:16]
}

// acquireSlot takes a slot. It reports false after it has refused the request because
// the server is leaving or all slots are busy.
func (a *appServer) acquireSlot(w http.ResponseWriter) bool {
	if a.server.faults.isLeaving() {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return false
	}
	select {
	case a.slots <- struct{}{}:
		a.addActive(1)
		return true
	default:
		refuse(w, http.StatusServiceUnavailable, "all slots are busy")
		return false
	}
}

func (a *appServer) releaseSlot() {
	<-a.slots
	a.addActive(-1)
}

func (a *appServer) addActive(change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active += change
	a.load.set(time.Now(), a.active)
}

// status returns the load report in vendor gamma's format.
func (a *appServer) status(w http.ResponseWriter, _ *http.Request) {
	if a.server.faults.sendGarbage(w) {
		return
	}
	phase := "serving"
	if a.server.faults.isLeaving() {
		phase = "leaving"
	}
	a.mu.Lock()
	active := a.load.get(time.Now())
	a.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"load":           map[string]int{"active": active, "limit": a.server.opts.Slots},
		"phase":          phase,
		"boot":           a.bootID,
		"reported_s_ago": json.Number(strconv.FormatFloat(a.server.opts.ReportLag.Seconds(), 'f', 3, 64)),
	})
}
