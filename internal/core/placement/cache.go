package placement

// cache estimates which prompt parts a server holds. Servers evict the least
// recently used parts, so a part counts as held until the server has read as many
// tokens since the part's last use as its memory for cached parts holds.
type cache struct {
	parts map[uint64]float64
	// tokens is the total number of tokens read so far; parts maps a chain to its
	// value at the part's last use.
	tokens float64
}

const (
	// cacheRatio is the part of a server's memory that remains for cached parts
	// beside running requests.
	cacheRatio = 0.6
	// maxParts bounds the number of parts remembered for one server.
	maxParts = 4096
)

func newCache() cache { return cache{parts: make(map[uint64]float64)} }

// cachedTokens returns the total length of the leading parts that the server is
// expected to hold.
func (c *cache) cachedTokens(parts []Part, memory int) int {
	tokens := 0
	for _, part := range parts {
		used, ok := c.parts[part.Chain]
		if !ok || c.tokens-used > cacheRatio*float64(memory) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// record adds a prompt that the server reads: its parts count as held from now on.
func (c *cache) record(parts []Part, uncached int) {
	c.tokens += float64(uncached)
	if len(c.parts) > maxParts {
		c.prune()
	}
	for _, part := range parts {
		c.parts[part.Chain] = c.tokens
	}
}

// prune removes the parts whose last use is in the older half of the remembered
// range.
func (c *cache) prune() {
	oldest := c.tokens
	for _, used := range c.parts {
		oldest = min(oldest, used)
	}
	midpoint := oldest + (c.tokens-oldest)/2
	for chain, used := range c.parts {
		if used < midpoint {
			delete(c.parts, chain)
		}
	}
}
