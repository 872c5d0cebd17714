package devsystem

import (
	"net"
	"strconv"
)

const (
	// firstPort and lastPort limit the planned ports to a range below the
	// ephemeral ports of outgoing connections (Linux from 32768, others from
	// 49152). Any process's connection could take a free ephemeral port before
	// its owner listens, and the owner would fail with "address already in use".
	firstPort = 20000
	lastPort  = 31999
	// portsPerBlock is how many ports one reservation holds, including its
	// guard's. It suffices for the stand-ins and four entry VMs with four ports
	// each.
	portsPerBlock = 64
	loopback      = "127.0.0.1"
)

// Ports is a reserved block of loopback ports for processes that are started
// later and must know each other's addresses before. Two reservations never share
// a port, in one process or in several: each keeps a listener, the guard, on the
// first port of its block until Close.
type Ports struct {
	guard net.Listener
	next  int // the port to try next
	end   int // the port after the block's last
}

// ReservePorts reserves a block of ports that no other reservation holds. Close
// releases it.
func ReservePorts() (*Ports, error) {
	for base := firstPort; base+portsPerBlock-1 <= lastPort; base += portsPerBlock {
		guard, err := net.Listen("tcp", address(base))
		if err == nil {
			return &Ports{guard: guard, next: base + 1, end: base + portsPerBlock}, nil
		}
	}
	return nil, Error.New("no free block of %d ports between %d and %d", portsPerBlock, firstPort, lastPort)
}

// NextAddress returns the next free address of the block.
func (p *Ports) NextAddress() (string, error) {
	for p.next < p.end {
		candidate := address(p.next)
		p.next++
		if isFree(candidate) {
			return candidate, nil
		}
	}
	return "", Error.New("no free port left in the block of %d ports", portsPerBlock)
}

// Close releases the block. Nothing may listen on its ports any more.
func (p *Ports) Close() error { return Error.Wrap(p.guard.Close()) }

func address(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// nextAddresses returns the next n free addresses of the block.
func (p *Ports) nextAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		var err error
		if addresses[i], err = p.NextAddress(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}
