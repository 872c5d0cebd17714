package hosted

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission/permit"
	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/telemetry"
)

const (
	// permitTimeout bounds a call for permits, permitBackoff is the pause after one that got
	// no answer.
	permitTimeout = 300 * time.Millisecond
	permitBackoff = 200 * time.Millisecond
	// permitsPerRequest is how many permits are requested at a time.
	permitsPerRequest = 2
	// issuerNotifyInterval is the minimum time between two messages to the issuer that only
	// report answers with the limit.
	issuerNotifyInterval = 250 * time.Millisecond
	// issuerSelectionInterval is the minimum time between two selections of a backend
	// server's issuer.
	issuerSelectionInterval = 200 * time.Millisecond
)

// requestPermits reports to the issuer of a backend server's permits what the server's
// answers said about its limit, and requests want permits, which may be 0.
func (l *backendLimits) requestPermits(backend string, want int) {
	issuer := l.issuerOf(time.Now(), backend)
	l.mu.Lock()
	b := l.byBackend[backend]
	if b == nil {
		l.mu.Unlock()
		return
	}
	answers := b.unreportedAnswers
	b.unreportedAnswers, b.notifiedAt = permit.AnswerCounts{}, time.Now()
	args := entryvm.PermitArgs{
		Requested: want, Limit: b.toMessage(time.Now(), backend), WithLimit: answers.WithLimit, WithoutLimit: answers.WithoutLimit, WithoutLimitRun: answers.WithoutLimitRun,
	}
	l.mu.Unlock()
	reply, err := l.callIssuer(issuer, args)
	if err != nil {
		l.node.config.Logger.Info("permit issuer does not answer", zap.String("backend", backend), zap.String("issuer", issuer), telemetry.Reason(err))
	}
	if l.handlePermitReply(b, backend, issuer, want, reply, answers, err) {
		l.node.serving.Wake()
	}
}

// handlePermitReply applies the issuer's reply or, after an error, keeps the reported answers
// for the next call. It reports whether requests may be sent now.
func (l *backendLimits) handlePermitReply(b *backendLimit, backend, issuer string, want int, reply entryvm.PermitReply, reported permit.AnswerCounts, err error) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		reported.Append(b.unreportedAnswers)
		b.unreportedAnswers = reported
		if want > 0 {
			b.permits.FailRequest(now, permitBackoff)
		}
		return false
	}
	if want > 0 {
		b.permits.CompleteRequest(now, reply.Granted, reply.Retry)
	}
	l.mergeLimit(now, issuer, reply.Limit)
	return reply.Granted > 0 || !b.Limited
}

// callIssuer calls the VM at an address, which may be this one.
func (l *backendLimits) callIssuer(address string, args entryvm.PermitArgs) (entryvm.PermitReply, error) {
	if address == l.node.config.Address {
		return l.node.Permit(args), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	return l.node.config.Peers.EntryVMs.Permit(ctx, address, args)
}

// Permit implements entryvm.Coordinator: it issues permits for a limited backend server.
func (n *Node) Permit(args entryvm.PermitArgs) entryvm.PermitReply {
	l, now, id := n.limits, time.Now(), args.Limit.Backend
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLimit(now, "", args.Limit)
	b := l.byBackend[id]
	if b == nil {
		return entryvm.PermitReply{Retry: permitBackoff, Limit: args.Limit} // not listed here yet
	}
	if !b.Limited {
		delete(l.issuers, id)
		return entryvm.PermitReply{Limit: b.toMessage(now, id)}
	}
	issuer := l.issuers[id]
	if issuer == nil {
		issuer = &permit.Issuer{}
		l.issuers[id] = issuer
	}
	if issuer.Observe(permit.AnswerCounts{WithLimit: args.WithLimit, WithoutLimit: args.WithoutLimit, WithoutLimitRun: args.WithoutLimitRun}) {
		l.observe(id, l.newLocalLimit(permit.Limit{}), n.config.VM)
		delete(l.issuers, id)
		return entryvm.PermitReply{Limit: b.toMessage(now, id)}
	}
	granted, retry := issuer.Issue(now, b.Limit, args.Requested)
	return entryvm.PermitReply{Granted: granted, Retry: retry, Limit: b.toMessage(now, id)}
}

// issuerOf returns the address of the VM that issues a backend server's permits. It is selected
// among the live VMs of the server's failure domain or, if there are none, among all.
func (l *backendLimits) issuerOf(now time.Time, backend string) string {
	l.mu.Lock()
	b := l.byBackend[backend]
	if b != nil && now.Sub(b.selectedAt) < issuerSelectionInterval {
		defer l.mu.Unlock()
		return b.issuer
	}
	l.mu.Unlock()
	issuer := l.selectIssuer(now, backend)
	l.mu.Lock()
	defer l.mu.Unlock()
	if b = l.byBackend[backend]; b != nil {
		b.issuer, b.selectedAt = issuer, now
	}
	return issuer
}

func (l *backendLimits) selectIssuer(now time.Time, backend string) string {
	own := &l.node.config
	server, _ := l.node.backends.get(backend)
	var sameDomain, all []string
	add := func(address, domain string) {
		all = append(all, address)
		if domain == server.Domain {
			sameDomain = append(sameDomain, address)
		}
	}
	if !l.node.stopping.Load() {
		add(own.Address, own.Domain)
	}
	l.node.members.eachLive(now, func(r *entryvm.Report) {
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
