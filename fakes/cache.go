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
	// maxCacheEvents bounds the cache events that can still be read; older ones are dropped,
	// which readers see as a gap.
	maxCacheEvents = 4096
)

// CacheEvent says that a block entered or left an engine's prefix cache. Block is a
// hash over the block and all blocks before it, Parent the hash of the block before.
type CacheEvent struct {
	Number int    `json:"number"`
	Kind   string `json:"kind"` // stored, removed, or cleared for the whole cache
	Block  string `json:"block,omitempty"`
	Parent string `json:"parent,omitempty"`
	Text   string `json:"text,omitempty"`
}

type timestampedEvent struct {
	at    time.Time
	event CacheEvent
}

// prefixCache is a bounded LRU of prompt blocks; its owner locks.
type prefixCache struct {
	cfg        *settings
	blocks     map[string]*list.Element
	lru        *list.List // block hashes, least recently used first
	events     []timestampedEvent
	lastNumber int
}

func newPrefixCache(set *settings) *prefixCache {
	return &prefixCache{cfg: set, blocks: map[string]*list.Element{}, lru: list.New()}
}

// lookupAndStore looks up the blocks of a prompt, stores those that are missing and returns how
// many tokens were found. Tokens of an incomplete last block are never cached.
func (c *prefixCache) lookupAndStore(tokens []string) (found int) {
	parent, hit := "", true
	for len(tokens) >= BlockTokens {
		text := strings.Join(tokens[:BlockTokens], " ")
		h := fnv.New64a()
		fmt.Fprintf(h, "%s\x00%s", parent, text)
		block := fmt.Sprintf("%016x", h.Sum64())
		if e, ok := c.blocks[block]; ok {
			c.lru.MoveToBack(e)
			if hit {
				found += BlockTokens
			}
		} else {
			hit = false
			c.store(block, parent, text)
		}
		parent, tokens = block, tokens[BlockTokens:]
	}
	return found
}

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

// eventsAfter returns the events with higher numbers that are old enough to be shown.
func (c *prefixCache) eventsAfter(n int) []CacheEvent {
	due := c.cfg.now().Add(-c.cfg.eventLag)
	shown := []CacheEvent{}
	for _, e := range c.events {
		if e.event.Number > n && !e.at.After(due) {
			shown = append(shown, e.event)
		}
	}
	return shown
}
