package hosted

import (
	"context"
	"sync"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
)

// issuerSelectionInterval is the minimum time between two selections of a backend server's
// issuer.
const issuerSelectionInterval = 200 * time.Millisecond

// permitIssuers selects the VMs that issue the permits of backend servers: those under a rate
// limit and those for room. It is safe for concurrent use.
type permitIssuers struct {
	node *Node

	mu        sync.Mutex
	byBackend map[string]selectedIssuer
}

// selectedIssuer is the address of an issuer, and when it was selected.
type selectedIssuer struct {
	address string
	at      time.Time
}

func newPermitIssuers(n *Node) *permitIssuers {
	return &permitIssuers{node: n, byBackend: make(map[string]selectedIssuer)}
}

// get returns the address of the VM that issues a backend server's permits.
func (i *permitIssuers) get(now time.Time, backend string) string {
	i.mu.Lock()
	selected := i.byBackend[backend]
	i.mu.Unlock()
	if now.Sub(selected.at) < issuerSelectionInterval {
		return selected.address
	}
	address := i.selectIssuer(now, backend)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.byBackend[backend] = selectedIssuer{address, now}
	return address
}

// forget drops the issuer of a backend server that is gone or has restarted.
func (i *permitIssuers) forget(backend string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.byBackend, backend)
}

// selectIssuer selects the issuer among the live VMs of the server's failure domain or, if there
// are none, among all.
func (i *permitIssuers) selectIssuer(now time.Time, backend string) string {
	own := &i.node.config
	server, _ := i.node.backends.get(backend)
	var sameDomain, all []string
	add := func(address, domain string) {
		all = append(all, address)
		if domain == server.Domain {
			sameDomain = append(sameDomain, address)
		}
	}
	if !i.node.stopping.Load() {
		add(own.Address, own.Domain)
	}
	i.node.members.eachLive(now, func(r *entryvm.Report) {
		if !r.Leaving {
			add(r.Address, r.Domain)
		}
	})
	if len(sameDomain) > 0 {
		all = sameDomain
	}
	if len(all) == 0 {
		return own.Address
	}
	return rendezvous.Pick(backend, all)
}

// share returns the share of a backend server's permits that this VM issues. VMs that have never met
// all select themselves, so each issues the share of those VMs of the server's failure domain that it
// reaches. VMs that it has met and lost are taken for gone, so that a limited server keeps getting
// requests while VMs fail.
func (i *permitIssuers) share(now time.Time, backend string) float64 {
	server, _ := i.node.backends.get(backend)
	unseen := i.node.fleetSize.unseen(server.Domain)
	count := i.node.members.countDomain(now, server.Domain)
	switch {
	case count.isUnsure:
		return 0
	case unseen == 0:
		return 1
	default:
		return float64(count.live) / float64(count.live+unseen)
	}
}

// callIssuer calls the VM at an address, which may be this one: answer is its own method for such
// a call, send that of a client of other VMs.
func callIssuer[Args, Reply any](n *Node, address string, args Args, answer func(Args) Reply, send func(context.Context, string, Args) (Reply, error)) (Reply, error) {
	if address == n.config.Address {
		return answer(args), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	return send(ctx, address, args)
}
