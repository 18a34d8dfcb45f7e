package engsim

import (
	"container/list"

	"laburnumstack.org/laburnum/pkg/ident"
)

// CacheEvent records that a block was added to the prefix cache or removed from
// it.
type CacheEvent struct {
	// Seq numbers the events of an engine, from 1.
	Seq uint64
	// Block is the chained digest of the block.
	Block   uint64
	Removed bool `json:",omitempty"`
}

// maxCacheEvents is the maximum number of retained events. When it is exceeded,
// the older half is dropped.
const maxCacheEvents = 4096

// cache is the prefix cache: an LRU cache of blocks by their chained digests.
type cache struct {
	blocks map[uint64]*list.Element
	// order holds the digests, the least recently used one first.
	order  *list.List
	events []CacheEvent
	seq    uint64
}

func newCache() cache {
	return cache{blocks: map[uint64]*list.Element{}, order: list.New()}
}

// match returns the number of tokens in the longest cached prefix of a prompt
// with these blocks, each of size tokens, and marks the cached blocks as most
// recently used.
func (c *cache) match(blocks []uint64, size ident.Tokens) ident.Tokens {
	var n ident.Tokens
	for _, b := range blocks {
		entry, ok := c.blocks[b]
		if !ok {
			break
		}
		c.order.MoveToBack(entry)
		n += size
	}
	return n
}

// add adds blocks to the cache, or marks them as most recently used if they are
// cached. Before it adds a block, it evicts the least recently used ones until
// fewer than maxBlocks are left. If maxBlocks is below one, it adds none.
func (c *cache) add(blocks []uint64, maxBlocks ident.Tokens) {
	for _, b := range blocks {
		if entry, ok := c.blocks[b]; ok {
			c.order.MoveToBack(entry)
			continue
		}
		if maxBlocks < 1 {
			return
		}
		for ident.Tokens(len(c.blocks)) >= maxBlocks {
			c.evict()
		}
		c.blocks[b] = c.order.PushBack(b)
		c.recordEvent(b, false)
	}
}

// shrink evicts blocks until the remaining ones, each of size tokens, take at
// most free tokens of memory.
func (c *cache) shrink(free, size ident.Tokens) {
	for ident.Tokens(len(c.blocks))*size > free {
		c.evict()
	}
}

func (c *cache) evict() {
	b := c.order.Remove(c.order.Front()).(uint64)
	delete(c.blocks, b)
	c.recordEvent(b, true)
}

func (c *cache) recordEvent(b uint64, removed bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{c.seq, b, removed})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// Events returns the retained cache events after a sequence number. A gap in the
// sequence numbers means that events were dropped.
func (e *Engine) Events(after uint64) []CacheEvent {
	for i, v := range e.cache.events {
		if v.Seq > after {
			return append([]CacheEvent(nil), e.cache.events[i:]...)
		}
	}
	return nil
}
