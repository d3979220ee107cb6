package backend

import "testing"

// Checks that every report that a parser accepts has its values in range.
func FuzzReport(f *testing.F) {
	for _, seed := range []string{
		`{"running":3,"waiting":1,"slots":8,"kv_used":0.41,"leaving":false,"incarnation":"i","age_ms":800,"models":["m"]}`,
		`{"running":1e99,"slots":-1,"age_ms":-5}`, `[]`, `null`, "", "\x00\xff",
		`{"load":{"active":2,"limit":16},"phase":"serving","boot":"b","reported_s_ago":0.5}`,
		"engine_slots 8\n# TYPE engine_leaving gauge\nengine_leaving NaN\n", "engine_slots{a=\"b\"} +Inf\n",
		"# TYPE engine_slots histogram\nengine_slots_bucket{le=\"1\"} 1\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		for name, v := range vendors {
			report, err := v.parse([]byte(body))
			if err != nil {
				continue
			}
			if _, err := report.validate(); err != nil {
				t.Errorf("%s: accepted %+v, which is out of range: %v", name, report, err)
			}
		}
	})
}
