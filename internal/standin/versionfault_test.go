package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A version's fault must hit exactly the stated share of the requests that meet its conditions, or tests of
// roll-outs would judge other versions than they name.
func TestVersionFault(t *testing.T) {
	for name, c := range map[string]struct {
		fault  VersionFault
		path   string
		failed int
	}{
		"a fifth":         {VersionFault{Version: "v2", FailShare: 0.2}, "/status", 20},
		"another version": {VersionFault{Version: "v3", FailShare: 1}, "/status", 0},
		"another path":    {VersionFault{Version: "v2", FailShare: 1, Path: "/claims"}, "/status", 0},
		"this path":       {VersionFault{Version: "v2", FailShare: 1, Path: "/records"}, "/records/1", 100},
		"later":           {VersionFault{Version: "v2", FailShare: 1, AfterMS: int(time.Hour.Milliseconds())}, "/status", 0},
		"under load":      {VersionFault{Version: "v2", FailShare: 1, AboveRunning: 1}, "/status", 0},
	} {
		options := DefaultOptions(KindApp, VendorGamma)
		options.Version = "v2"
		s, err := New(options)
		if err != nil {
			t.Fatal(err)
		}
		s.versions.set(c.fault)
		failed := 0
		for range 100 {
			answer := httptest.NewRecorder()
			s.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, c.path, nil))
			if answer.Code == http.StatusInternalServerError {
				failed++
			}
		}
		if failed < c.failed-1 || failed > c.failed {
			t.Errorf("%s: %d of 100 requests failed, expected %d", name, failed, c.failed)
		}
	}
}
