package engsim

import (
	"container/list"

	"laburnumstack.org/laburnum/pkg/ident"
)

// CacheEvent tells that a block entered or left the prefix cache.
type CacheEvent struct {
	Seq     uint64
	Block   uint64
	Removed bool `json:",omitempty"`
}

const eventsKept = 4096

// cache is the prefix cache: blocks by chained digest, least recently used
// first out.
type cache struct {
	blocks map[uint64]*list.Element
	order  *list.List
	events []CacheEvent
	seq    uint64
}

func newCache() cache {
	return cache{blocks: map[uint64]*list.Element{}, order: list.New()}
}

// match returns the tokens of the longest prefix that is cached.
func (c *cache) match(blocks []uint64, size ident.Tokens) ident.Tokens {
	var n ident.Tokens
	for _, b := range blocks {
		el, ok := c.blocks[b]
		if !ok {
			break
		}
		c.order.MoveToBack(el)
		n += size
	}
	return n
}

// add puts blocks into the cache, which holds at most room blocks.
func (c *cache) add(blocks []uint64, room ident.Tokens) {
	for _, b := range blocks {
		if el, ok := c.blocks[b]; ok {
			c.order.MoveToBack(el)
			continue
		}
		if room < 1 {
			return
		}
		for ident.Tokens(len(c.blocks)) >= room {
			c.evict()
		}
		c.blocks[b] = c.order.PushBack(b)
		c.note(b, false)
	}
}

// shrink evicts blocks until they fit into the free memory.
func (c *cache) shrink(free, size ident.Tokens) {
	for ident.Tokens(len(c.blocks))*size > free {
		c.evict()
	}
}

func (c *cache) evict() {
	b := c.order.Remove(c.order.Front()).(uint64)
	delete(c.blocks, b)
	c.note(b, true)
}

func (c *cache) note(b uint64, removed bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{c.seq, b, removed})
	if len(c.events) > eventsKept {
		c.events = append([]CacheEvent(nil), c.events[eventsKept/2:]...)
	}
}

// Events returns the cache events after a sequence number.
func (e *Engine) Events(after uint64) []CacheEvent {
	for i, v := range e.cache.events {
		if v.Seq > after {
			return append([]CacheEvent(nil), e.cache.events[i:]...)
		}
	}
	return nil
}
