package standin

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// blockTokens is the number of prompt tokens in a cache block.
	blockTokens = PrefixBytes / BytesPerToken
	// maxCacheEvents bounds the number of cache events that are kept.
	maxCacheEvents = 4096
)

// cacheEvent reports that a prefix was stored or evicted.
type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	at     time.Time
}

// cacheBlocks returns the names of a prompt's cache blocks. The first is the prefix
// hash; each further one is a hash of the prompt up to the block's end, PrefixBytes
// after the one before it.
func cacheBlocks(prompt string) []string {
	blocks := []string{PrefixHash(prompt)}
	hash := sha256.New()
	for end := PrefixBytes; end <= len(prompt); end += PrefixBytes {
		hash.Write([]byte(prompt[end-PrefixBytes : end]))
		if end > PrefixBytes {
			blocks = append(blocks, hex.EncodeToString(hash.Sum(nil))[:16])
		}
	}
	return blocks
}

// prefixCache holds the cache blocks of prompts and evicts the least recently used.
// It is guarded by the engine's lock.
type prefixCache struct {
	loseEvery int // every loseEvery-th event is lost; 0 loses none
	blocks    map[string]*list.Element
	lru       *list.List // of *cacheBlock, most recent first
	tokens    int
	events    []cacheEvent
	lastSeq   int64
}

type cacheBlock struct {
	name  string
	first bool // the first block of a prompt, whose name is the prefix hash
}

func newPrefixCache(opts Options) *prefixCache {
	return &prefixCache{
		loseEvery: opts.CacheGapEvery,
		blocks:    make(map[string]*list.Element),
		lru:       list.New(),
	}
}

// cachedTokens returns the number of tokens that are cached without a gap from the
// prompt's start.
func (c *prefixCache) cachedTokens(blocks []string) int {
	cached := 0
	for _, name := range blocks {
		if c.blocks[name] == nil {
			break
		}
		cached += blockTokens
	}
	return cached
}

// store adds a prompt's blocks and evicts the least recently used ones while the
// cache exceeds the limit in tokens. It adds the blocks in reverse, so that a
// prompt's later blocks are evicted before its earlier ones.
func (c *prefixCache) store(blocks []string, limit int, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i], i == 0, now)
	}
	for c.tokens > max(limit, 0) && c.lru.Len() > 0 {
		c.evict(now)
	}
}

// touch marks a block as the most recently used and adds it if it is not cached.
func (c *prefixCache) touch(name string, first bool, now time.Time) {
	if element := c.blocks[name]; element != nil {
		c.lru.MoveToFront(element)
		return
	}
	c.blocks[name] = c.lru.PushFront(&cacheBlock{name, first})
	c.tokens += blockTokens
	if first {
		c.publish("stored", name, now)
	}
}

func (c *prefixCache) evict(now time.Time) {
	oldest := c.lru.Back()
	block := c.lru.Remove(oldest).(*cacheBlock)
	delete(c.blocks, block.name)
	c.tokens -= blockTokens
	if block.first {
		c.publish("evicted", block.name, now)
	}
}

// publish numbers an event and keeps it, but loses every loseEvery-th one: clients
// must cope with gaps in the sequence.
func (c *prefixCache) publish(kind, prefix string, now time.Time) {
	c.lastSeq++
	if c.loseEvery > 0 && c.lastSeq%int64(c.loseEvery) == 0 {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, cacheEvent{c.lastSeq, kind, prefix, now})
}

// since returns the events after a sequence number that were published no later
// than before, and the sequence number of the newest event kept by then.
func (c *prefixCache) since(after int64, before time.Time) ([]cacheEvent, int64) {
	events := []cacheEvent{}
	last := int64(0)
	for _, event := range c.events {
		if event.at.After(before) {
			break
		}
		last = event.Seq
		if event.Seq > after {
			events = append(events, event)
		}
	}
	return events, last
}
