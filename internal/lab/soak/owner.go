package soak

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"laburnumstack.org/laburnum/pkg/ident"
)

// ownerOf returns the node whose process has the socket with the given local address, or
// an empty name if none has.
func (s *Soak) ownerOf(a net.Addr) ident.NodeName {
	// The kernel's table may change while it is read, and rows be missed.
	const tries = 3
	for range tries {
		if n := s.ownersNow()(a); n != "" {
			return n
		}
	}
	return ""
}

// ownersNow reads the kernel's table of sockets once, and returns a function that finds
// owners in it as ownerOf does.
func (s *Soak) ownersNow() func(net.Addr) ident.NodeName {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return func(net.Addr) ident.NodeName { return "" }
	}
	return func(a net.Addr) ident.NodeName {
		inode := socketInode(table, a)
		if inode == "" {
			return ""
		}
		for _, n := range s.nodes {
			if n.hasSocket(inode) {
				return n.name()
			}
		}
		return ""
	}
}

// socketInode returns the inode of the IPv4 TCP socket with the given local address, or
// an empty string if there is none.
func socketInode(table []byte, a net.Addr) string {
	const localColumn, inodeColumn = 1, 9
	// Connections that have ended and still wait have no inode.
	const noInode = "0"
	local := kernelAddress(a)
	for rest := table; ; {
		i := bytes.Index(rest, []byte(": "+local+" "))
		if i < 0 {
			return ""
		}
		start := bytes.LastIndexByte(rest[:i], '\n') + 1
		line, _, _ := bytes.Cut(rest[start:], []byte{'\n'})
		columns := strings.Fields(string(line))
		if len(columns) > inodeColumn && columns[localColumn] == local && columns[inodeColumn] != noInode {
			return columns[inodeColumn]
		}
		rest = rest[i+1:]
	}
}

// kernelAddress returns an IPv4 address as the kernel's table of sockets shows it.
func kernelAddress(a net.Addr) string {
	host, port, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	ip := net.ParseIP(host).To4()
	n, err := strconv.Atoi(port)
	if ip == nil || err != nil {
		return ""
	}
	// The table shows the address in the byte order of the host.
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]}
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(reversed)), n)
}

// hasSocket reports whether the process has a socket with the given inode.
func (p *process) hasSocket(inode string) bool {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, f := range files {
		if target, err := os.Readlink(f); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
