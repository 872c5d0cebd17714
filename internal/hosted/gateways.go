package hosted

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/service"
)

// gatewayFailureTTL is how long a gateway that failed ranks behind the others.
const gatewayFailureTTL = time.Second

// gatewayAnswers is what gateways say of a backend server.
type gatewayAnswers struct {
	// gateway is one that reaches it, empty for none.
	gateway string
	// refused is whether its address refused the connection of one.
	refused bool
}

// askGateways asks gateways concurrently whether they reach the target, until the first that
// does.
func (p *backendPaths) askGateways(ctx context.Context, target service.Target, count int) (answers gatewayAnswers) {
	gateways := p.rankGateways(time.Now(), target.ID)
	gateways = gateways[:min(count, len(gateways))]
	type result struct {
		gateway string
		err     error
	}
	results := make(chan result, len(gateways))
	for _, address := range gateways {
		go func() {
			via := target
			via.Gateway = address
			err := p.node.config.Peers.Backends.Probe(ctx, via)
			p.recordGatewayResult(time.Now(), address, err)
			results <- result{address, err}
		}()
	}
	for range gateways {
		r := <-results
		if r.err == nil {
			answers.gateway = r.gateway
			return answers
		}
		answers.refused = answers.refused || errors.Is(r.err, entryvm.ErrBackendRefused)
	}
	return answers
}

// rankedGateway is a VM that may reach a backend server.
type rankedGateway struct {
	address string
	// failed is whether it failed recently.
	failed bool
	weight uint64
}

func compareGateways(a, b rankedGateway) int {
	if a.failed != b.failed {
		if a.failed {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.address, b.address))
}

// listGateways returns the live VMs that may reach a backend server, in no order. Their weights
// differ between VMs and backend servers, so that each VM spreads its backend servers over all
// gateways.
func (p *backendPaths) listGateways(now time.Time, id string) []rankedGateway {
	key := p.node.config.VM + "/" + id
	var gateways []rankedGateway
	p.node.members.eachLive(now, func(r *entryvm.Report) {
		if !r.Leaving && !r.LostPaths && r.Address != "" {
			gateways = append(gateways, rankedGateway{address: r.Address, weight: rendezvous.Weight(key, r.VM)})
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range gateways {
		failedAt, failed := p.gatewayFailedAt[gateways[i].address]
		gateways[i].failed = failed && now.Sub(failedAt) < gatewayFailureTTL
	}
	return gateways
}

// rankGateways returns the addresses of the gateways to a backend server, the preferred one
// first.
func (p *backendPaths) rankGateways(now time.Time, id string) []string {
	gateways := p.listGateways(now, id)
	slices.SortFunc(gateways, compareGateways)
	out := make([]string, len(gateways))
	for i := range gateways {
		out[i] = gateways[i].address
	}
	return out
}

// pickGateway returns the gateway for a connection to a backend server, or empty if there is
// none.
func (p *backendPaths) pickGateway(now time.Time, id string) string {
	gateways := p.listGateways(now, id)
	if len(gateways) == 0 {
		return ""
	}
	return slices.MinFunc(gateways, compareGateways).address
}

// recordGatewayResult records whether a gateway connected to a backend server. One that didn't
// may have lost its paths too.
func (p *backendPaths) recordGatewayResult(now time.Time, address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		delete(p.gatewayFailedAt, address)
		return
	}
	gatewayFailuresTotal.Inc()
	for other, failedAt := range p.gatewayFailedAt {
		if now.Sub(failedAt) >= gatewayFailureTTL {
			delete(p.gatewayFailedAt, other)
		}
	}
	p.gatewayFailedAt[address] = now
}
