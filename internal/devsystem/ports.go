package devsystem

import (
	"net"
	"strconv"
)

const (
	// firstPort and lastPort bound the planned ports. They lie below the ports
	// that operating systems give to outgoing connections (Linux from 32768,
	// others from 49152). A port found free among those could be taken by any
	// connection of any process before its owner listens; the owner then ends
	// with "address already in use".
	firstPort = 20000
	lastPort  = 31999
	// blockSize is how many ports one reservation holds, its guard's included:
	// enough for the stand-ins and four entry VMs with four ports each.
	portsPerBlock = 64
	loopback      = "127.0.0.1"
)

// Ports hands out loopback ports for processes that are started later and must
// know each other's addresses before. Two reservations never share a port, in
// one process or in several: each keeps a listener on the first port of its
// block, its guard, for as long as it is used.
type Ports struct {
	guard net.Listener
	next  int // the port to try next
	end   int // the port after the block's last
}

// ReservePorts takes a block of ports that no other reservation holds. Close
// gives it back.
func ReservePorts() (*Ports, error) {
	for base := firstPort; base+portsPerBlock-1 <= lastPort; base += portsPerBlock {
		guard, err := net.Listen("tcp", address(base))
		if err == nil {
			return &Ports{guard: guard, next: base + 1, end: base + portsPerBlock}, nil
		}
	}
	return nil, Error.New("no block of %d ports is free from %d to %d", portsPerBlock, firstPort, lastPort)
}

// Next returns an address of the block that nothing listens on.
func (p *Ports) NextAddress() (string, error) {
	for p.next < p.end {
		candidate := address(p.next)
		p.next++
		if isFree(candidate) {
			return candidate, nil
		}
	}
	return "", Error.New("the block of %d ports is used up", portsPerBlock)
}

// Close gives the block back. Whoever listens on its ports must have ended.
func (p *Ports) Close() error { return Error.Wrap(p.guard.Close()) }

func address(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// takeAll returns n addresses of the block.
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
