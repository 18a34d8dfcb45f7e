package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/ident"
)

// ownerOf returns the node whose process has the other end of a connection, or an empty
// name if none has.
func (s *Soak) ownerOf(c net.Conn) ident.NodeName { return s.ownersNow()(c) }

// ownersNow reads once which sockets the nodes have, and returns a function that finds owners
// among them as ownerOf does.
func (s *Soak) ownersNow() func(net.Conn) ident.NodeName {
	owners := map[uint32]ident.NodeName{}
	for _, n := range s.nodes {
		for _, inode := range n.socketInodes() {
			owners[inode] = n.name()
		}
	}
	return func(c net.Conn) ident.NodeName {
		inode, err := peerInode(c)
		if err != nil {
			return ""
		}
		return owners[inode]
	}
}

// socketInodes returns the inodes of the sockets that the process has.
func (p *process) socketInodes() []uint32 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return nil
	}
	var inodes []uint32
	for _, f := range files {
		target, err := os.Readlink(f)
		if err != nil {
			continue
		}
		number, ok := strings.CutPrefix(target, "socket:[")
		if !ok {
			continue
		}
		if inode, err := strconv.ParseUint(strings.TrimSuffix(number, "]"), 10, 32); err == nil {
			inodes = append(inodes, uint32(inode))
		}
	}
	return inodes
}

// Layout of the messages with which the kernel is asked about one socket, see sock_diag(7).
const (
	diagMessageType = 20
	// diagHeaderBytes is the length of the header of each message.
	diagHeaderBytes = syscall.NLMSG_HDRLEN
	// diagRequestBytes is the length of a request, diagIDOffset the offset of the
	// addresses in it, and diagDestination that of the remote IP address.
	diagRequestBytes = 56
	diagIDOffset     = 8
	diagSource       = diagIDOffset + 4
	diagDestination  = diagSource + 16
	diagCookie       = diagDestination + 16 + 4
	// diagInodeOffset is the offset of the inode in a response.
	diagInodeOffset = 68
	// maxDiagBytes is more than the length of a response.
	maxDiagBytes = 4096
)

// errNoSocket is returned if the kernel has no socket for the other end of a connection.
var errNoSocket = errors.New("no such socket")

// peerInode returns the inode of the socket at the other end of an IPv4 connection within
// this machine.
func peerInode(c net.Conn) (uint32, error) {
	local, isLocal := c.RemoteAddr().(*net.TCPAddr)
	remote, isRemote := c.LocalAddr().(*net.TCPAddr)
	if !isLocal || !isRemote || local.IP.To4() == nil || remote.IP.To4() == nil {
		return 0, errNoSocket
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, syscall.NETLINK_INET_DIAG)
	if err != nil {
		return 0, err
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, diagRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	var b [maxDiagBytes]byte
	n, _, err := syscall.Recvfrom(fd, b[:], 0)
	if err != nil {
		return 0, err
	}
	if n < diagHeaderBytes+diagInodeOffset+4 || binary.NativeEndian.Uint16(b[4:]) != diagMessageType {
		return 0, errNoSocket
	}
	return binary.NativeEndian.Uint32(b[diagHeaderBytes+diagInodeOffset:]), nil
}

// diagRequest returns the message that asks about the TCP socket with the given addresses.
func diagRequest(local, remote *net.TCPAddr) []byte {
	b := make([]byte, diagHeaderBytes+diagRequestBytes)
	binary.NativeEndian.PutUint32(b, uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], diagMessageType)
	binary.NativeEndian.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	r := b[diagHeaderBytes:]
	r[0], r[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	// Sockets in any state, with any cookie.
	binary.NativeEndian.PutUint32(r[4:], ^uint32(0))
	binary.NativeEndian.PutUint64(r[diagCookie:], ^uint64(0))
	binary.BigEndian.PutUint16(r[diagIDOffset:], uint16(local.Port))
	binary.BigEndian.PutUint16(r[diagIDOffset+2:], uint16(remote.Port))
	copy(r[diagSource:], local.IP.To4())
	copy(r[diagDestination:], remote.IP.To4())
	return b
}
