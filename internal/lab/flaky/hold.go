package flaky

import (
	"net"
	"net/netip"
	"syscall"

	"github.com/juju/errors"
)

// PortHold keeps a TCP port bound without listening on it, so that no other process gets the
// port while a stand-in that listens on it is down. Connections are refused meanwhile.
type PortHold struct {
	// Address is the IPv4 address with the port that is held.
	Address string

	fd int
}

// HoldPort binds a TCP address, which gets a free port if its port is zero. A listener may be
// opened on the address afterwards, but not before.
func HoldPort(addr string) (*PortHold, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "hold port")
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Annotatef(err, "hold port")
	}
	h := &PortHold{fd: fd}
	if err := h.bind(tcp); err != nil {
		h.Close()
		return nil, errors.Annotatef(err, "hold port of %s", addr)
	}
	return h, nil
}

func (h *PortHold) bind(addr *net.TCPAddr) error {
	ip := netip.IPv4Unspecified()
	if v4 := addr.IP.To4(); v4 != nil {
		ip = netip.AddrFrom4([4]byte(v4))
	}
	if err := syscall.SetsockoptInt(h.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(h.fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: ip.As4()}); err != nil {
		return err
	}
	sa, err := syscall.Getsockname(h.fd)
	if err != nil {
		return err
	}
	h.Address = netip.AddrPortFrom(ip, uint16(sa.(*syscall.SockaddrInet4).Port)).String()
	return nil
}

// Close releases the port.
func (h *PortHold) Close() error { return syscall.Close(h.fd) }
