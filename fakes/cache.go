package fakes

import (
	"container/list"
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

const (
	// BlockTokens is the number of prompt tokens in one block of the prefix cache.
	BlockTokens = 16
	// maxCacheEvents is the number of cache events kept for readers. Older events are
	// dropped, which a reader sees as a gap in the event numbers.
	maxCacheEvents = 4096
)

// CacheEvent reports that a block was added to or removed from an engine's prefix cache.
// Block is a hash of the block and all blocks before it; Parent is the hash of the
// preceding block. Numbers start at 1 in each run and increase by one.
type CacheEvent struct {
	Number int    `json:"number"`
	Kind   string `json:"kind"` // stored, removed, or cleared (the whole cache)
	Block  string `json:"block,omitempty"`
	Parent string `json:"parent,omitempty"`
	Text   string `json:"text,omitempty"`
}

// timestampedEvent is a cache event with the time at which it occurred.
type timestampedEvent struct {
	at    time.Time
	event CacheEvent
}

// prefixCache is a bounded LRU cache of prompt blocks. It is not safe for concurrent use;
// the engine's mutex guards it.
type prefixCache struct {
	cfg        *settings
	blocks     map[string]*list.Element
	lru        *list.List // block hashes, least recently used first
	events     []timestampedEvent
	lastNumber int
}

func newPrefixCache(cfg *settings) *prefixCache {
	return &prefixCache{cfg: cfg, blocks: map[string]*list.Element{}, lru: list.New()}
}

// lookupAndStore looks up the blocks of a prompt and stores those that are missing. It
// returns the number of tokens in the cached blocks at the start of the prompt. Tokens of
// an incomplete last block are never cached.
func (c *prefixCache) lookupAndStore(tokens []string) (cached int) {
	parent, prefixCached := "", true
	for len(tokens) >= BlockTokens {
		text := strings.Join(tokens[:BlockTokens], " ")
		h := fnv.New64a()
		fmt.Fprintf(h, "%s\x00%s", parent, text)
		block := fmt.Sprintf("%016x", h.Sum64())
		if e, ok := c.blocks[block]; ok {
			c.lru.MoveToBack(e)
			if prefixCached {
				cached += BlockTokens
			}
		} else {
			prefixCached = false
			c.store(block, parent, text)
		}
		parent, tokens = block, tokens[BlockTokens:]
	}
	return cached
}

// store adds a block and evicts the least recently used one if the cache is full. A cache
// of zero blocks stores nothing.
func (c *prefixCache) store(block, parent, text string) {
	if c.cfg.cacheBlocks == 0 {
		return
	}
	if len(c.blocks) >= c.cfg.cacheBlocks {
		oldest := c.lru.Remove(c.lru.Front()).(string)
		delete(c.blocks, oldest)
		c.addEvent(CacheEvent{Kind: "removed", Block: oldest})
	}
	c.blocks[block] = c.lru.PushBack(block)
	c.addEvent(CacheEvent{Kind: "stored", Block: block, Parent: parent, Text: text})
}

func (c *prefixCache) clear() {
	c.blocks = map[string]*list.Element{}
	c.lru.Init()
	c.addEvent(CacheEvent{Kind: "cleared"})
}

// addEvent numbers an event and keeps it for readers, unless it is one of the events to
// drop.
func (c *prefixCache) addEvent(e CacheEvent) {
	c.lastNumber++
	e.Number = c.lastNumber
	if c.cfg.dropEvery > 0 && e.Number%c.cfg.dropEvery == 0 {
		return
	}
	c.events = append(c.events, timestampedEvent{c.cfg.now(), e})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events numbered above n that are at least as old as the event lag.
func (c *prefixCache) eventsAfter(n int) []CacheEvent {
	cutoff := c.cfg.now().Add(-c.cfg.eventLag)
	visible := []CacheEvent{}
	for _, e := range c.events {
		if e.event.Number > n && !e.at.After(cutoff) {
			visible = append(visible, e.event)
		}
	}
	return visible
}
