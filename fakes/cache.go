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
	// maxEvents bounds the cache events that can still be read; older ones are dropped,
	// which readers see as a gap.
	maxEvents = 4096
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

type datedEvent struct {
	at    time.Time
	event CacheEvent
}

// prefixCache is a bounded LRU of prompt blocks; its owner locks.
type prefixCache struct {
	set    *settings
	blocks map[string]*list.Element
	order  *list.List // block hashes, least recently used first
	events []datedEvent
	number int
}

func newPrefixCache(set *settings) *prefixCache {
	return &prefixCache{set: set, blocks: map[string]*list.Element{}, order: list.New()}
}

// use looks up the blocks of a prompt, stores those that are missing and returns how
// many tokens were found. Tokens of an incomplete last block are never cached.
func (c *prefixCache) use(tokens []string) (found int) {
	parent, hit := "", true
	for len(tokens) >= BlockTokens {
		text := strings.Join(tokens[:BlockTokens], " ")
		h := fnv.New64a()
		fmt.Fprintf(h, "%s\x00%s", parent, text)
		block := fmt.Sprintf("%016x", h.Sum64())
		if e, ok := c.blocks[block]; ok {
			c.order.MoveToBack(e)
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
	if c.set.blocks == 0 {
		return
	}
	if len(c.blocks) >= c.set.blocks {
		oldest := c.order.Remove(c.order.Front()).(string)
		delete(c.blocks, oldest)
		c.emit(CacheEvent{Kind: "removed", Block: oldest})
	}
	c.blocks[block] = c.order.PushBack(block)
	c.emit(CacheEvent{Kind: "stored", Block: block, Parent: parent, Text: text})
}

func (c *prefixCache) clear() {
	c.blocks = map[string]*list.Element{}
	c.order.Init()
	c.emit(CacheEvent{Kind: "cleared"})
}

func (c *prefixCache) emit(e CacheEvent) {
	c.number++
	e.Number = c.number
	if c.set.eventGap > 0 && e.Number%c.set.eventGap == 0 {
		return
	}
	c.events = append(c.events, datedEvent{c.set.now(), e})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// after returns the events with higher numbers that are old enough to be shown.
func (c *prefixCache) after(n int) []CacheEvent {
	due := c.set.now().Add(-c.set.eventLag)
	shown := []CacheEvent{}
	for _, e := range c.events {
		if e.event.Number > n && !e.at.After(due) {
			shown = append(shown, e.event)
		}
	}
	return shown
}
