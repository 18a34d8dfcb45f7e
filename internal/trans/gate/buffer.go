package gate

import (
	"bufio"
	"io"
	"net"
	"sync"

	"laburnumstack.org/laburnum/internal/coord/memory"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/http1"
)

const (
	// maxResponseBody bounds the body of an endpoint's response in bytes.
	maxResponseBody = 16 << 20
	// maxStaleBody bounds the body of a response to another request, which is
	// skipped, in bytes.
	maxStaleBody = 64 << 10
	// minPiece and maxPiece are the sizes of the pieces in which a body is kept, in bytes. A
	// body of unknown length begins with a small one, each further one is twice as large.
	minPiece = 2 << 10
	maxPiece = 64 << 10
)

// takeMemory takes memory for the answer. Small answers need no account. It returns
// memory.ErrExceeded if the answer was given up.
func (a *attempt) takeMemory(n int64) error {
	r := &a.answer
	r.held += n
	if r.held <= memory.FreeBytes {
		return nil
	}
	if r.account == nil {
		r.account = a.server.answers.Open(a.choice.Primary.Name, a.giveUp)
		n = r.held
	}
	return r.account.Take(n)
}

// keepMemory keeps the answer from being given up, since it has been read.
func (a *attempt) keepMemory() error {
	if a.answer.account == nil {
		return nil
	}
	return a.answer.account.Keep()
}

func (a *attempt) releaseMemory() {
	if a.answer.account != nil {
		a.answer.account.Close()
	}
}

// giveUp ends the reads of an answer that was given up for another one.
func (a *attempt) giveUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isGivenUp = true
	if a.isAttached {
		a.link.SetReadDeadline(conns.Expired)
	}
}

// readBody reads the whole body of a response. Its memory must be released, also after an
// error.
func (a *attempt) readBody(res *http1.Response) (net.Buffers, error) {
	switch {
	case res.Framing == http1.None:
		return nil, nil
	case res.Framing == http1.Sized && res.Length > maxResponseBody:
		return nil, http1.ErrBodyTooLong
	}
	var pieces net.Buffers
	source := a.newBodyReader(res)
	next := int64(minPiece)
	if res.Framing == http1.Sized {
		next = min(res.Length, maxPiece)
	}
	for size := int64(0); ; next = min(2*next, maxPiece) {
		if res.Framing == http1.Sized {
			next = min(next, res.Length-size)
		}
		if err := a.takeMemory(next); err != nil {
			recycle(pieces)
			return nil, err
		}
		piece, err := readPiece(source, newPiece(next))
		size += int64(len(piece))
		pieces = append(pieces, piece)
		switch {
		case size > maxResponseBody:
			err = http1.ErrBodyTooLong
		case err == io.EOF || err == nil && res.Framing == http1.Sized && size == res.Length:
			return pieces, a.keepMemory()
		}
		if err != nil {
			recycle(pieces)
			return nil, err
		}
	}
}

// newBodyReader returns a reader of the body of a response. It returns io.EOF only at the end
// of a complete body, also if that ends with the connection.
func (a *attempt) newBodyReader(res *http1.Response) io.Reader {
	r := http1.NewBodyReader(a.link.Reader, res.Framing, res.Length)
	if res.Framing != http1.UntilClose || a.upload == nil || a.isOverPeer() {
		// A peer tells itself how the endpoint ended the connection.
		return r
	}
	return &unframedReader{r, a.upload}
}

// unframedReader reads a body that ends with the connection, beside the upload of the request.
type unframedReader struct {
	io.Reader
	upload *conns.Upload
}

func (u *unframedReader) Read(b []byte) (int, error) {
	n, err := u.Reader.Read(b)
	if err == io.EOF {
		err = u.upload.CheckEnd()
	}
	return n, err
}

// freePieces holds pieces of the largest size. Answers that end early return theirs, so that
// those without end make little garbage.
var freePieces = sync.Pool{New: func() any { return new([maxPiece]byte) }}

func newPiece(size int64) []byte {
	if size == maxPiece {
		return freePieces.Get().(*[maxPiece]byte)[:]
	}
	return make([]byte, size)
}

// recycle returns the pieces of a body that nothing else refers to.
func recycle(pieces net.Buffers) {
	for _, p := range pieces {
		if cap(p) == maxPiece {
			freePieces.Put((*[maxPiece]byte)(p[:maxPiece]))
		}
	}
}

// readPiece fills a piece, up to the end of the body. The error is io.EOF there; there may be
// bytes with an error.
func readPiece(r io.Reader, piece []byte) ([]byte, error) {
	n := 0
	for n < len(piece) {
		m, err := r.Read(piece[n:])
		n += m
		if err != nil {
			return piece[:n], err
		}
	}
	return piece, nil
}

// skipBody reads a body that is not used.
func skipBody(br *bufio.Reader, res *http1.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(http1.NewBodyReader(br, res.Framing, res.Length), maxStaleBody+1))
	if err == nil && n > maxStaleBody {
		return http1.ErrBodyTooLong
	}
	return err
}
