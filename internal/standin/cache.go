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
	// maxCacheEvents bounds the cache events that are kept.
	maxCacheEvents = 4096
)

// cacheEvent tells of a prefix that was stored or evicted.
type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	at     time.Time
}

// cacheBlocks returns the cache blocks of a prompt. The first is the prefix
// hash; each further one covers PrefixBytes more of the prompt.
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

// prefixCache holds the blocks of prompts, evicting the least recently used.
// The engine locks.
type prefixCache struct {
	gapEvery int
	blocks   map[string]*list.Element
	recent   *list.List // of *cacheBlock, most recent first
	tokens   int
	events   []cacheEvent
	last     int64
}

type cacheBlock struct {
	name  string
	first bool
}

func newPrefixCache(opts Options) *prefixCache {
	return &prefixCache{
		gapEvery: opts.CacheGapEvery,
		blocks:   make(map[string]*list.Element),
		recent:   list.New(),
	}
}

// hit returns the prompt tokens that are held from the prompt's start on.
func (c *prefixCache) hit(blocks []string) int {
	held := 0
	for _, name := range blocks {
		if c.blocks[name] == nil {
			break
		}
		held += blockTokens
	}
	return held
}

// store adds a prompt's blocks and evicts others beyond the limit. A prompt's
// later blocks are evicted before its earlier ones.
func (c *prefixCache) store(blocks []string, limit int, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i], i == 0, now)
	}
	for c.tokens > max(limit, 0) && c.recent.Len() > 0 {
		c.evict(now)
	}
}

func (c *prefixCache) touch(name string, first bool, now time.Time) {
	if element := c.blocks[name]; element != nil {
		c.recent.MoveToFront(element)
		return
	}
	c.blocks[name] = c.recent.PushFront(&cacheBlock{name, first})
	c.tokens += blockTokens
	if first {
		c.publish("stored", name, now)
	}
}

func (c *prefixCache) evict(now time.Time) {
	oldest := c.recent.Back()
	block := c.recent.Remove(oldest).(*cacheBlock)
	delete(c.blocks, block.name)
	c.tokens -= blockTokens
	if block.first {
		c.publish("evicted", block.name, now)
	}
}

// publish numbers an event, and loses every gapEvery-th one.
func (c *prefixCache) publish(kind, prefix string, now time.Time) {
	c.last++
	if c.gapEvery > 0 && c.last%int64(c.gapEvery) == 0 {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, cacheEvent{c.last, kind, prefix, now})
}

// since returns the events after a sequence number that were published before
// the time, and the last sequence number among them.
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
