// Package tunnel carries a connection to an endpoint over another node, for a node that
// can't reach the endpoint itself. The other node connects and then passes on bytes; all
// decisions about the request stay with the node that sends it.
//
// A tunnel is a connection to the peer address of a node that begins with Preamble. After
// it come a Request and, in the other direction, a Reply, both in gob. Then the bytes to
// the endpoint follow as they are, and those of the endpoint in HTTP chunks, after which
// one byte tells how the endpoint ended the connection. So the death of the node between
// can't look like the end of an answer.
package tunnel

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/http/httputil"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Preamble is the first byte of a tunnel. A connection for net/rpc never begins with it.
const Preamble byte = 0x81

// How an endpoint ended its connection.
const (
	endClosed byte = 'c'
	endBroken byte = 'b'
)

const (
	// handshakeTimeout bounds the wait for a Request after the preamble.
	handshakeTimeout = time.Second
	// maxConnectTimeout bounds Request.Timeout.
	maxConnectTimeout = time.Second
	bufferBytes       = 8 << 10
)

// Errors of a tunnel.
const (
	// ErrUnreachable means that the other node didn't connect to the endpoint.
	ErrUnreachable = errors.ConstError("the peer doesn't reach the endpoint")
	// ErrEvacuated means that the other node didn't connect to the endpoint since its data
	// centre is evacuated.
	ErrEvacuated = errors.ConstError("the data centre of the endpoint is evacuated")
	// ErrPeerLost means that the connection to the other node broke, so that it is
	// unknown what the endpoint did.
	ErrPeerLost = errors.ConstError("the connection to the peer broke")
)

// Request asks a node to connect to an endpoint.
type Request struct {
	From     ident.NodeName
	Endpoint ident.EndpointName
	Address  string
	// Timeout bounds the time to connect.
	Timeout time.Duration
	// NoRequest is set if the connection carries no request of a caller, but a probe, or
	// an order for memory that is reserved already. Nodes of older builds don't set it.
	NoRequest bool
}

// Reply is the answer to a Request.
type Reply struct {
	Connected bool
	// Error tells why the node did not connect.
	Error string
	// Evacuated is set if the reason is ErrEvacuated. Nodes of older builds don't set it.
	Evacuated bool
}

// Dial opens a tunnel over the node at an address. Errors wrap ErrUnreachable or ErrEvacuated if
// that node answered but did not connect.
func Dial(ctx context.Context, peer string, r Request) (net.Conn, error) {
	nc, err := links.Dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	c := nc.(*net.TCPConn)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(conns.Expired) })
	patient := &conns.PatientReader{Conn: c}
	reader, err := handshake(c, patient, r)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return &clientConn{TCPConn: c, patient: patient, reader: reader, chunks: httputil.NewChunkedReader(reader)}, nil
}

// handshake asks the other node to connect. It returns a reader of what follows the reply,
// which reads from source.
func handshake(c io.Writer, source io.Reader, r Request) (*bufio.Reader, error) {
	w := bufio.NewWriter(c)
	w.WriteByte(Preamble)
	if err := gob.NewEncoder(w).Encode(r); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(source, bufferBytes)
	var reply Reply
	if err := gob.NewDecoder(reader).Decode(&reply); err != nil {
		return nil, err
	}
	if reply.Evacuated {
		return nil, ErrEvacuated
	}
	if !reply.Connected {
		return nil, errors.Annotate(ErrUnreachable, reply.Error)
	}
	return reader, nil
}

// clientConn is the end of a tunnel at the node that sends requests.
type clientConn struct {
	*net.TCPConn
	patient *conns.PatientReader
	reader  *bufio.Reader
	chunks  io.Reader
	// end is the error of all reads after the end.
	end error
}

// PatientReader returns the reader below those that parse the tunnel.
func (c *clientConn) PatientReader() *conns.PatientReader { return c.patient }

// Read reads what the endpoint sent. It returns io.EOF if the endpoint closed the
// connection, io.ErrUnexpectedEOF if it broke it, and ErrPeerLost if the node between did.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.chunks.Read(b)
	if err == nil {
		return n, nil
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return n, err
	}
	c.end = ErrPeerLost
	if err == io.EOF {
		c.end = c.readEnd()
	}
	return n, c.end
}

// readEnd reads how the endpoint ended the connection.
func (c *clientConn) readEnd() error {
	switch b, err := c.reader.ReadByte(); {
	case err != nil:
		return ErrPeerLost
	case b == endClosed:
		return io.EOF
	default:
		return io.ErrUnexpectedEOF
	}
}

// Server connects to endpoints for other nodes. The exported fields are set before Serve.
type Server struct {
	// Connect opens a connection for a request, or returns why it doesn't.
	Connect func(context.Context, Request) (net.Conn, error)
}

// Serve serves a tunnel, whose preamble has been read, until one of its ends is closed.
func (s *Server) Serve(ctx context.Context, c net.Conn, r *bufio.Reader) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	var req Request
	if err := gob.NewDecoder(r).Decode(&req); err != nil {
		return
	}
	c.SetDeadline(time.Time{})
	ctx, cancel := context.WithTimeout(ctx, min(req.Timeout, maxConnectTimeout))
	endpoint, err := s.Connect(ctx, req)
	cancel()
	reply := Reply{Connected: err == nil}
	if err != nil {
		reply.Error, reply.Evacuated = err.Error(), errors.Is(err, ErrEvacuated)
	}
	encoded := gob.NewEncoder(c).Encode(reply)
	if err != nil {
		return
	}
	defer endpoint.Close()
	if encoded != nil {
		return
	}
	upload := conns.NewUpload(endpoint)
	go func() {
		io.Copy(upload, r)
		// An endpoint may answer although it takes no more bytes, so only the end of the
		// tunnel ends its connection.
		io.Copy(io.Discard, r)
		endpoint.Close()
	}()
	s.relay(c, endpoint, upload)
}

// relay passes on what the endpoint sends, and how it ended the connection.
func (s *Server) relay(c, endpoint net.Conn, upload *conns.Upload) {
	w := bufio.NewWriterSize(c, bufferBytes)
	chunks := httputil.NewChunkedWriter(w)
	b := make([]byte, bufferBytes)
	for {
		n, err := endpoint.Read(b)
		if n > 0 {
			chunks.Write(b[:n])
			if w.Flush() != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		chunks.Close()
		end := endBroken
		if err == io.EOF && upload.CheckEnd() == io.EOF {
			end = endClosed
		}
		w.WriteByte(end)
		w.Flush()
		return
	}
}
