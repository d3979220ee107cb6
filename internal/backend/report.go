package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Report is the load of a backend server, in a form that does not depend on the
// vendor.
type Report struct {
	Running int
	Waiting int
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// KVUsed is the used fraction of the KV cache, from 0 to 1. It is 0 for
	// application servers.
	KVUsed float64
	// Leaving is true if the server accepts no new requests.
	Leaving bool
	// Incarnation changes when the server restarts.
	Incarnation string
	// Age is how old the report was when it was sent.
	Age time.Duration
	// Models lists the loaded models, if the vendor reports them.
	Models []string
}

// The vendors whose reports can be parsed.
const (
	VendorAlpha = "alpha"
	VendorBeta  = "beta"
	VendorGamma = "gamma"
)

var errVendor = errors.New("unknown vendor")

// vendor is the path and the parser of a vendor's report.
type vendor struct {
	path  string
	parse func([]byte) (Report, error)
}

var vendors = map[string]vendor{
	VendorAlpha: {"/v1/state", parseAlpha},
	VendorBeta:  {"/metrics", parseBeta},
	VendorGamma: {"/status", parseGamma},
}

// Report reads the load report of a server.
func (c *Client) Report(ctx context.Context, address, vendorName string) (Report, error) {
	v, known := vendors[vendorName]
	if !known {
		return Report{}, fmt.Errorf("report %s: %w: %q", address, errVendor, vendorName)
	}
	call := Call{Step: "report", Address: address, Method: http.MethodGet, Path: v.path, Repeatable: true}
	body, err := c.control(ctx, call)
	if err != nil {
		return Report{}, err
	}
	report, err := v.parse(body)
	if err != nil {
		return Report{}, call.invalidResponse(fmt.Errorf("vendor %s: %w", vendorName, err))
	}
	return report, nil
}

// Limits of the values in a report.
const (
	maxCount          = 1 << 20
	maxAge            = 24 * time.Hour
	maxIncarnationLen = 128
	maxModels         = 256
)

// validate returns the report, or an error if a value is out of range.
func (r Report) validate() (Report, error) {
	switch {
	case r.Running < 0 || r.Running > maxCount:
		return Report{}, fmt.Errorf("running %d: out of range", r.Running)
	case r.Waiting < 0 || r.Waiting > maxCount:
		return Report{}, fmt.Errorf("waiting %d: out of range", r.Waiting)
	case r.Slots < 1 || r.Slots > maxCount:
		return Report{}, fmt.Errorf("slots %d: out of range", r.Slots)
	case !(r.KVUsed >= 0 && r.KVUsed <= 1):
		return Report{}, fmt.Errorf("KV use %g: out of range", r.KVUsed)
	case r.Age < 0 || r.Age > maxAge:
		return Report{}, fmt.Errorf("age %v: out of range", r.Age)
	case r.Incarnation == "" || len(r.Incarnation) > maxIncarnationLen:
		return Report{}, errors.New("incarnation: missing or too long")
	case len(r.Models) > maxModels:
		return Report{}, errors.New("models: too many")
	}
	return r, nil
}

func parseAlpha(body []byte) (Report, error) {
	var state struct {
		Running     int      `json:"running"`
		Waiting     int      `json:"waiting"`
		Slots       int      `json:"slots"`
		KVUsed      float64  `json:"kv_used"`
		Leaving     bool     `json:"leaving"`
		Incarnation string   `json:"incarnation"`
		AgeMS       float64  `json:"age_ms"`
		Models      []string `json:"models"`
	}
	if err := json.Unmarshal(body, &state); err != nil {
		return Report{}, err
	}
	return Report{
		Running: state.Running, Waiting: state.Waiting, Slots: state.Slots,
		KVUsed: state.KVUsed, Leaving: state.Leaving, Incarnation: state.Incarnation,
		Age: toDuration(state.AgeMS, time.Millisecond), Models: state.Models,
	}.validate()
}

func parseGamma(body []byte) (Report, error) {
	var status struct {
		Load struct {
			Active int `json:"active"`
			Limit  int `json:"limit"`
		} `json:"load"`
		Phase        string  `json:"phase"`
		Boot         string  `json:"boot"`
		ReportedSAgo float64 `json:"reported_s_ago"`
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return Report{}, err
	}
	if status.Phase != "serving" && status.Phase != "leaving" {
		return Report{}, fmt.Errorf("phase %.40q: expected serving or leaving", status.Phase)
	}
	return Report{
		Running: status.Load.Active, Slots: status.Load.Limit,
		Leaving: status.Phase == "leaving", Incarnation: status.Boot,
		Age: toDuration(status.ReportedSAgo, time.Second),
	}.validate()
}

func parseBeta(body []byte) (Report, error) {
	values, err := parseGauges(body)
	if err != nil {
		return Report{}, err
	}
	for _, name := range betaMetrics {
		if _, found := values[name]; !found {
			return Report{}, fmt.Errorf("metric %s is missing", name)
		}
	}
	return Report{
		Running:     toCount(values["engine_requests_running"]),
		Waiting:     toCount(values["engine_requests_waiting"]),
		Slots:       toCount(values["engine_slots"]),
		KVUsed:      values["engine_kv_usage_ratio"],
		Leaving:     values["engine_leaving"] != 0,
		Incarnation: strconv.FormatFloat(values["engine_start_time_seconds"], 'f', -1, 64),
		Age:         toDuration(values["engine_report_age_seconds"], time.Second),
	}.validate()
}

var betaMetrics = []string{
	"engine_requests_running", "engine_requests_waiting", "engine_slots",
	"engine_kv_usage_ratio", "engine_leaving", "engine_start_time_seconds",
	"engine_report_age_seconds",
}

// parseGauges returns the value of the first sample of each metric family.
// Histograms and summaries are skipped.
func parseGauges(body []byte) (map[string]float64, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	values := make(map[string]float64, len(families))
	for name, family := range families {
		if len(family.Metric) == 0 {
			continue
		}
		metric := family.Metric[0]
		switch {
		case metric.Gauge != nil:
			values[name] = metric.Gauge.GetValue()
		case metric.Untyped != nil:
			values[name] = metric.Untyped.GetValue()
		case metric.Counter != nil:
			values[name] = metric.Counter.GetValue()
		}
	}
	return values, nil
}

// toCount converts a value to an integer, or to -1 if it is out of range.
func toCount(value float64) int {
	if !(value >= 0 && value <= maxCount) {
		return -1
	}
	return int(value)
}

// toDuration converts a value in the given unit to a duration, or to a negative
// one if it is out of range.
func toDuration(value float64, unit time.Duration) time.Duration {
	if !(value >= 0 && value <= maxAge.Seconds()*float64(time.Second/unit)) {
		return -1
	}
	return time.Duration(math.Round(value * float64(unit)))
}
