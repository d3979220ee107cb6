package discovery

import "testing"

// The version must depend on the content of a list but not on its order, and must
// not be 0, which stands for a list that was never read.
func TestVersionFollowsContent(t *testing.T) {
	a := Server{Instance: "i-1", Service: "models", Address: "10.0.0.1:80"}
	b := Server{Instance: "i-2", Service: "models", Address: "10.0.0.2:80", Slots: 8}
	if Version([]Server{a, b}) != Version([]Server{b, a}) {
		t.Error("two lists that differ in order have different versions")
	}
	leaving := b
	leaving.Leaving = true
	seen := map[uint64]bool{}
	for _, list := range [][]Server{nil, {a}, {b}, {a, b}, {a, leaving}} {
		version := Version(list)
		if version == 0 || seen[version] {
			t.Errorf("%v: version %d is 0 or that of another list", list, version)
		}
		seen[version] = true
	}
}
