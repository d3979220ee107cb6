package routing

// The confidence that a server holds a prefix, from 0 to 1.
const (
	confidenceSent   = 0.8
	confidenceStored = 1.0
)

// prefixTable remembers which servers hold which prefixes.
type prefixTable struct {
	limit int
}

func newPrefixTable(limit int) *prefixTable {
	return &prefixTable{limit: limit}
}

func (t *prefixTable) hint(prefix uint64, server string, confidence float64) {}

func (t *prefixTable) evicted(prefix uint64, server string) {}

func (t *prefixTable) dropServers(servers map[string]*server) {}
