package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/standin"
)

const (
	alphaReport = `{"running":3,"waiting":1,"slots":8,"kv_used":0.41,"leaving":true,"incarnation":"i7","age_ms":800,"models":["m"]}`
	gammaReport = `{"load":{"active":2,"limit":16},"phase":"leaving","boot":"b3","reported_s_ago":0.5}`
	betaReport  = "engine_requests_running 3\nengine_requests_waiting 1\nengine_slots 8\nengine_kv_usage_ratio 0.41\n" +
		"engine_leaving 1\nengine_start_time_seconds 1.5\nengine_report_age_seconds 0.8\n"
)

// reportOf reads a report from a server that responds with the given body.
func reportOf(t testing.TB, vendor, body string) (backend.Report, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	c := backend.New(backend.Options{MaxReportBytes: 4096, ControlTimeout: noTimeout})
	defer c.Close()
	return c.Report(context.Background(), listener.Addr().String(), vendor)
}

func TestReports(t *testing.T) {
	model := backend.Report{Running: 3, Waiting: 1, Slots: 8, KVUsed: 0.41, Leaving: true, Incarnation: "i7", Age: 800 * time.Millisecond, Models: []string{"m"}}
	beta := model
	beta.Incarnation, beta.Models = "1.5", nil
	app := backend.Report{Running: 2, Slots: 16, Leaving: true, Incarnation: "b3", Age: 500 * time.Millisecond}
	tests := map[string]struct {
		vendor, body string
		want         *backend.Report
	}{
		"alpha":                {"alpha", alphaReport, &model},
		"beta":                 {"beta", betaReport, &beta},
		"gamma":                {"gamma", gammaReport, &app},
		"alpha empty":          {"alpha", "", nil},
		"alpha negative":       {"alpha", strings.Replace(alphaReport, "3", "-3", 1), nil},
		"alpha without slots":  {"alpha", strings.Replace(alphaReport, `"slots":8`, `"slots":0`, 1), nil},
		"alpha KV over 1":      {"alpha", strings.Replace(alphaReport, "0.41", "1.41", 1), nil},
		"alpha wrong type":     {"alpha", strings.Replace(alphaReport, "true", `"yes"`, 1), nil},
		"alpha no incarnation": {"alpha", strings.Replace(alphaReport, "i7", "", 1), nil},
		"alpha huge age":       {"alpha", strings.Replace(alphaReport, "800", "1e300", 1), nil},
		"alpha oversized":      {"alpha", alphaReport + strings.Repeat(" ", 8192), nil},
		"beta not a number":    {"beta", strings.Replace(betaReport, "0.41", "NaN", 1), nil},
		"beta infinite":        {"beta", strings.Replace(betaReport, "running 3", "running +Inf", 1), nil},
		"beta missing metric":  {"beta", strings.Replace(betaReport, "engine_slots 8\n", "", 1), nil},
		"beta garbage":         {"beta", "engine_slots {\x00", nil},
		"gamma unknown phase":  {"gamma", strings.Replace(gammaReport, "leaving", "resting", 1), nil},
		"gamma other vendor":   {"gamma", alphaReport, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := reportOf(t, test.vendor, test.body)
			if test.want == nil {
				if phase := phaseOf(t, err); phase != backend.PhaseInvalid {
					t.Errorf("got %v, %v, want an invalid response", got, err)
				}
				return
			}
			if err != nil || !reflect.DeepEqual(got, *test.want) {
				t.Errorf("got %+v, %v, want no error and the report of the test case", got, err)
			}
		})
	}
}

func TestReportsOfStandins(t *testing.T) {
	for vendor, kind := range map[string]string{"alpha": "model", "beta": "model", "gamma": "app"} {
		opts := standin.DefaultOptions(kind, vendor)
		opts.ReportLag = 1500 * time.Millisecond
		address := startStandin(t, opts)
		c := newClient(t, backend.Options{})
		got, err := c.Report(context.Background(), address, vendor)
		if err != nil || got.Slots != 8 || got.Leaving || got.Age != opts.ReportLag {
			t.Errorf("%s: got %+v, %v, want 8 slots, not leaving, and the age of the report lag", vendor, got, err)
		}
		yes := true
		injectFault(t, address, standin.FaultRequest{Leaving: &yes})
		again, err := c.Report(context.Background(), address, vendor)
		if err != nil || !again.Leaving || again.Incarnation != got.Incarnation {
			t.Errorf("%s: got %+v, %v, want leaving, with the same incarnation", vendor, again, err)
		}
		injectFault(t, address, standin.FaultRequest{Garbage: &yes})
		if _, err := c.Report(context.Background(), address, vendor); phaseOf(t, err) != backend.PhaseInvalid {
			t.Errorf("%s: garbage: got %v, want an invalid response", vendor, err)
		}
	}
}
