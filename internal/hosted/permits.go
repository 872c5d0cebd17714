package hosted

import (
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission/permit"
	"bergamotreel/entryvm"
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
)

// requestPermits reports to the issuer of a backend server's permits what the server's
// answers said about its limit, and requests want permits, which may be 0.
func (l *backendLimits) requestPermits(backend string, want int) {
	issuer := l.node.issuers.get(time.Now(), backend)
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
	reply, err := callIssuer(l.node, issuer, args, l.node.Permit, l.node.config.Peers.EntryVMs.Permit)
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

// Permit implements entryvm.Coordinator: it issues permits for a limited backend server.
func (n *Node) Permit(args entryvm.PermitArgs) entryvm.PermitReply {
	l, now, id := n.limits, time.Now(), args.Limit.Backend
	share := n.issuers.share(now, id)
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
	granted, retry := issuer.Issue(now, b.Limit, share, args.Requested)
	return entryvm.PermitReply{Granted: granted, Retry: retry, Limit: b.toMessage(now, id)}
}
