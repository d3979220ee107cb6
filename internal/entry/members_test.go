package entry

import "testing"

// The platform lists a VM's earlier incarnation as leaving while its successor
// already reports: the listing must speak of the earlier one.
func TestLateListingSpeaksOfPredecessor(t *testing.T) {
	var listed listedVMs
	steps := []struct {
		text     string
		reported uint64
		want     uint64
	}{
		{"first", 0, 0},
		{"first", 100, 100},
		{"first", 200, 100},
		{"second", 200, 200},
		{"second", 200, 200},
	}
	for i, step := range steps {
		if got := listed.bind("vm", step.text, step.reported); got != step.want {
			t.Fatalf("step %d: incarnation %d, want %d", i, got, step.want)
		}
	}
}
