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
	// permitTimeout bounds a question for permits, permitPause is the pause after one
	// without an answer.
	permitTimeout = 300 * time.Millisecond
	permitPause   = 200 * time.Millisecond
	// permitsAhead is how many permits are asked for at a time.
	permitsAhead = 2
	// notifyIssuerEvery is the least time between two messages that only report answers with
	// the limit to the issuer.
	notifyIssuerEvery = 250 * time.Millisecond
	// drawIssuerEvery is the least time between two draws of a backend server's issuer.
	drawIssuerEvery = 200 * time.Millisecond
)

// ask reports to the issuer of a backend server's permits what its answers said, and asks
// for so many permits, which may be none.
func (l *backendLimits) ask(backend string, want int) {
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
		Want: want, Limit: b.toMessage(time.Now(), backend), Named: answers.WithLimit, Plain: answers.WithoutLimit, Run: answers.WithoutLimitRun,
	}
	l.mu.Unlock()
	reply, err := l.askAt(issuer, args)
	if err != nil {
		l.node.config.Logger.Info("issuer of permits does not answer", zap.String("backend", backend), zap.String("issuer", issuer), telemetry.Reason(err))
	}
	if l.answered(b, backend, issuer, want, reply, answers, err) {
		l.node.serving.Wake()
	}
}

// answered takes the issuer's answer; it tells whether requests may be sent now.
func (l *backendLimits) answered(b *backendLimit, backend, issuer string, want int, reply entryvm.PermitReply, reported permit.AnswerCounts, err error) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		reported.Append(b.unreportedAnswers)
		b.unreportedAnswers = reported
		if want > 0 {
			b.permits.FailRequest(now, permitPause)
		}
		return false
	}
	if want > 0 {
		b.permits.CompleteRequest(now, reply.Granted, reply.Retry)
	}
	l.mergeLimit(now, issuer, reply.Limit)
	return reply.Granted > 0 || !b.Limited
}

// askAt asks the VM at an address, which may be this one.
func (l *backendLimits) askAt(address string, args entryvm.PermitArgs) (entryvm.PermitReply, error) {
	if address == l.node.config.Address {
		return l.node.Permit(args), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	return l.node.config.Peers.EntryVMs.Permit(ctx, address, args)
}

// Permit implements entryvm.Coordinator.
func (n *Node) Permit(args entryvm.PermitArgs) entryvm.PermitReply {
	l, now, id := n.limits, time.Now(), args.Limit.Backend
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLimit(now, "", args.Limit)
	b := l.byBackend[id]
	if b == nil {
		return entryvm.PermitReply{Retry: permitPause, Limit: args.Limit} // not listed here yet
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
	if issuer.Observe(permit.AnswerCounts{WithLimit: args.Named, WithoutLimit: args.Plain, WithoutLimitRun: args.Run}) {
		l.observe(id, l.newLocalLimit(permit.Limit{}), n.config.VM)
		delete(l.issuers, id)
		return entryvm.PermitReply{Limit: b.toMessage(now, id)}
	}
	granted, retry := issuer.Issue(now, b.Limit, args.Want)
	return entryvm.PermitReply{Granted: granted, Retry: retry, Limit: b.toMessage(now, id)}
}

// issuerOf is the address of the VM that issues a backend server's permits: one that is
// drawn among the live VMs of its failure domain or, where there are none, among all.
func (l *backendLimits) issuerOf(now time.Time, backend string) string {
	l.mu.Lock()
	b := l.byBackend[backend]
	if b != nil && now.Sub(b.drawnAt) < drawIssuerEvery {
		defer l.mu.Unlock()
		return b.issuer
	}
	l.mu.Unlock()
	issuer := l.drawIssuer(now, backend)
	l.mu.Lock()
	defer l.mu.Unlock()
	if b = l.byBackend[backend]; b != nil {
		b.issuer, b.drawnAt = issuer, now
	}
	return issuer
}

func (l *backendLimits) drawIssuer(now time.Time, backend string) string {
	own := &l.node.config
	server, _ := l.node.backends.get(backend)
	var near, all []string
	add := func(address, domain string) {
		all = append(all, address)
		if domain == server.Domain {
			near = append(near, address)
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
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return own.Address
	}
	return rendezvous.Pick(backend, all)
}
