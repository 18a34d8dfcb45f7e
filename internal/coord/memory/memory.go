// Package memory bounds the memory that the answers of endpoints take at one time, and decides
// whose answer is given up if the bound is exceeded: the largest one of the endpoint whose
// answers take the most. One endpoint that sends without end doesn't cost the answers of others.
package memory

import (
	"sync"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/ident"
)

// FreeBytes is the size up to which an answer is never given up.
const FreeBytes = 16 << 10

// ErrExceeded means that an answer was given up since the answers took too much memory.
const ErrExceeded = errors.ConstError("answers take too much memory, this one was the largest")

// Budget is the memory for answers. It is safe for concurrent use.
type Budget struct {
	// Limit is the number of bytes; zero means no bound. It is set before the first use.
	Limit int64

	mu     sync.Mutex
	held   int64
	owners map[ident.EndpointName]*owner
}

// owner is an endpoint with answers in memory.
type owner struct {
	held     int64
	accounts map[*Account]struct{}
}

// Account is the memory of one answer.
type Account struct {
	budget   *Budget
	endpoint ident.EndpointName
	// onEnd is called once if the answer is given up for another one.
	onEnd func()

	// budget.mu guards the following fields. isKept is set if the answer is not given up
	// any more, hasEnded once it has been.
	held             int64
	isKept, hasEnded bool
}

// Open opens the account of an answer of an endpoint. onEnd is called if the answer is given up
// while another one takes memory; it must not use the account.
func (b *Budget) Open(endpoint ident.EndpointName, onEnd func()) *Account {
	return &Account{budget: b, endpoint: endpoint, onEnd: onEnd}
}

// Held returns the number of bytes of all answers.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Take adds bytes to an account. If the answers then take too much memory, the largest ones are
// given up until they don't. It returns ErrExceeded if this one was given up, now or before.
func (a *Account) Take(n int64) error {
	b := a.budget
	b.mu.Lock()
	if a.hasEnded {
		b.mu.Unlock()
		return ErrExceeded
	}
	b.add(a, n)
	var ended []*Account
	for b.Limit > 0 && b.held > b.Limit {
		largest := b.largest()
		if largest == nil {
			break
		}
		largest.hasEnded = true
		b.remove(largest)
		if largest != a {
			ended = append(ended, largest)
		}
	}
	hasEnded := a.hasEnded
	b.mu.Unlock()
	for _, e := range ended {
		e.onEnd()
	}
	if hasEnded {
		return ErrExceeded
	}
	return nil
}

// Keep keeps the answer from being given up, since it has been read.
func (a *Account) Keep() error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.hasEnded {
		return ErrExceeded
	}
	a.isKept = true
	return nil
}

// Close releases the memory of an account.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.hasEnded {
		a.hasEnded = true
		a.budget.remove(a)
	}
}

// add adds bytes to an account. The caller holds b.mu.
func (b *Budget) add(a *Account, n int64) {
	if b.owners == nil {
		b.owners = map[ident.EndpointName]*owner{}
	}
	o := b.owners[a.endpoint]
	if o == nil {
		o = &owner{accounts: map[*Account]struct{}{}}
		b.owners[a.endpoint] = o
	}
	o.accounts[a] = struct{}{}
	a.held += n
	o.held += n
	b.held += n
}

// remove takes an account out of the budget. The caller holds b.mu.
func (b *Budget) remove(a *Account) {
	o := b.owners[a.endpoint]
	if o == nil {
		return
	}
	if _, ok := o.accounts[a]; !ok {
		return
	}
	delete(o.accounts, a)
	o.held -= a.held
	b.held -= a.held
	if len(o.accounts) == 0 {
		delete(b.owners, a.endpoint)
	}
}

// largest returns the largest answer that may be given up of the endpoint whose such answers
// take the most, or nil if all are small or kept. The caller holds b.mu.
func (b *Budget) largest() *Account {
	var found *Account
	var most int64
	for _, o := range b.owners {
		held, candidate := o.endable()
		if candidate != nil && held > most {
			most, found = held, candidate
		}
	}
	return found
}

// endable returns the bytes of the answers that may be given up, and the largest of them.
func (o *owner) endable() (held int64, largest *Account) {
	for a := range o.accounts {
		if a.isKept || a.held <= FreeBytes {
			continue
		}
		held += a.held
		if largest == nil || a.held > largest.held {
			largest = a
		}
	}
	return held, largest
}
