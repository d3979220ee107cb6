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

// Report is a backend server's load in the one shape that the rest of the
// system uses.
type Report struct {
	Running int
	Waiting int
	// Slots is the number of requests that run at the same time.
	Slots int
	// KVUsed is the used share of the KV cache, 0 to 1; 0 for applications.
	KVUsed  float64
	Leaving bool
	// Incarnation changes when the server starts anew.
	Incarnation string
	// Age is how old the report was when it was sent.
	Age time.Duration
	// Models lists the loaded models, where the vendor tells.
	Models []string
}

// The vendors whose reports can be read.
const (
	VendorAlpha = "alpha"
	VendorBeta  = "beta"
	VendorGamma = "gamma"
)

var errVendor = errors.New("unknown vendor")

// vendor is one vendor's call and its translation.
type vendor struct {
	path  string
	parse func([]byte) (Report, error)
}

var vendors = map[string]vendor{
	VendorAlpha: {"/v1/state", parseAlpha},
	VendorBeta:  {"/metrics", parseBeta},
	VendorGamma: {"/status", parseGamma},
}

// Report asks a server for its load.
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
		return Report{}, call.invalid(fmt.Errorf("vendor %s: %w", vendorName, err))
	}
	return report, nil
}

// The bounds of what a report can say.
const (
	maxCount          = 1 << 20
	maxAge            = 24 * time.Hour
	maxIncarnationLen = 128
	maxModels         = 256
)

// check refuses a report that no server can mean.
func (r Report) check() (Report, error) {
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
		Age: duration(state.AgeMS, time.Millisecond), Models: state.Models,
	}.check()
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
		Age: duration(status.ReportedSAgo, time.Second),
	}.check()
}

func parseBeta(body []byte) (Report, error) {
	values, err := parseGauges(body)
	if err != nil {
		return Report{}, err
	}
	for _, name := range betaNames {
		if _, found := values[name]; !found {
			return Report{}, fmt.Errorf("metric %s is missing", name)
		}
	}
	return Report{
		Running:     count(values["engine_requests_running"]),
		Waiting:     count(values["engine_requests_waiting"]),
		Slots:       count(values["engine_slots"]),
		KVUsed:      values["engine_kv_usage_ratio"],
		Leaving:     values["engine_leaving"] != 0,
		Incarnation: strconv.FormatFloat(values["engine_start_time_seconds"], 'f', -1, 64),
		Age:         duration(values["engine_report_age_seconds"], time.Second),
	}.check()
}

var betaNames = []string{
	"engine_requests_running", "engine_requests_waiting", "engine_slots",
	"engine_kv_usage_ratio", "engine_leaving", "engine_start_time_seconds",
	"engine_report_age_seconds",
}

// parseGauges returns the first sample of each metric family.
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

// count makes a whole number of a value; one out of range becomes -1.
func count(value float64) int {
	if !(value >= 0 && value <= maxCount) {
		return -1
	}
	return int(value)
}

// duration makes a duration of a value; one out of range becomes negative.
func duration(value float64, unit time.Duration) time.Duration {
	if !(value >= 0 && value <= maxAge.Seconds()*float64(time.Second/unit)) {
		return -1
	}
	return time.Duration(math.Round(value * float64(unit)))
}
