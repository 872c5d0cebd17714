// Package lease implements the timing of session leases: how long a holder may
// send orders, when an observer may declare a session expired, and when a VM has
// been gone for so long that none of its messages can still arrive. It reads no
// clock: all times are readings of the process's own monotonic clock, are passed
// in, and are never compared between VMs.
//
// An order is a command to an engine to load or unload a unit. The keeper of an engine
// is the VM that sends it orders.
//
// Safety does not depend on these times: a right stays counted until its unload is
// proved, no matter which VM sends orders or when. The lease prevents two keepers
// from working against each other, and a session from being settled too early.
//
// While Holder.CanSendOrders returns true, no Observer with the same Config
// returns the session from Expired, however far apart their clocks started, as
// long as the clocks drift by less than Config.Margin in a Config.Term. Only
// Config.Check returns errors, of the class Error. The types are not safe for
// concurrent use.
package lease

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lease")

// Config is the timing of sessions. It must be the same on every VM.
type Config struct {
	// Term is how long a session is valid after its newest renewal.
	Term time.Duration
	// Margin is how long before the end of its term a holder stops sending orders.
	// It covers the drift of two monotonic clocks over one term and the delay of an
	// order on its way.
	Margin time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// MessageLifetime is the longest time from the sending of a message to its
	// effect. After it, the network has dropped the message.
	MessageLifetime time.Duration
}

// Default is the timing unless the settings override it. With a renewal every 3 s,
// 9 VMs make 3 appends a second, of the several hundred that the log can take.
// Three consecutive renewals may be lost before the term ends.
var Default = Config{
	Term:            12 * time.Second,
	Margin:          2 * time.Second,
	RenewInterval:   3 * time.Second,
	MessageLifetime: 30 * time.Second,
}

// Check returns an error if the timing is invalid.
func (c Config) Check() error {
	switch {
	case c.RenewInterval <= 0 || c.Margin <= 0 || c.MessageLifetime <= 0:
		return Error.New("renewal, margin and message lifetime must be above 0")
	case c.Term < c.Margin+2*c.RenewInterval:
		return Error.New("term %v is below the margin %v and two renewals of %v", c.Term, c.Margin, c.RenewInterval)
	}
	return nil
}

// OwnRenewalTimeout returns how old the newest confirmed renewal of a holder may
// become while a relay collects its renewals. After that the holder also proposes a
// renewal itself; two fifths of the period in which it may send orders remain for
// it. With a working relay the age stays below the timeout, as it is at most
// RenewInterval plus a heartbeat and an append: with a term of 10 s and renewals every
// 2.5 s, the timeout is 5 s of the 8.3 s in which the holder may send orders.
func (c Config) OwnRenewalTimeout() time.Duration { return (c.Term - c.Margin) * 3 / 5 }

// maxUnconfirmed bounds the renewals whose outcome is pending.
const maxUnconfirmed = 16

// Holder is the owner's view of its own session.
type Holder struct {
	config Config
	// unconfirmed holds the renewals that were sent and are not confirmed yet.
	unconfirmed []sentRenewal
	// relayRequests holds the newest renewals that a relay was asked for.
	relayRequests []sentRenewal
	// termStart is when the newest confirmed renewal was sent.
	termStart  time.Time
	lastSentAt time.Time
	confirmed  bool
	lost       bool
}

// sentRenewal is a renewal or a request to a relay, and when it was sent.
type sentRenewal struct {
	sequence uint64
	sentAt   time.Time
}

// NewHolder returns a Holder for a session that is not open yet. Opening the
// session counts as its first renewal.
func NewHolder(config Config) *Holder { return &Holder{config: config} }

// RecordRenewalSent records that the renewal (or the opening) with this proposal
// sequence is about to be sent. The caller reads now before the append starts.
func (h *Holder) RecordRenewalSent(now time.Time, sequence uint64) {
	h.lastSentAt = now
	h.unconfirmed = append(h.unconfirmed, sentRenewal{sequence, now})
	if len(h.unconfirmed) > maxUnconfirmed {
		h.unconfirmed = h.unconfirmed[1:]
	}
}

// ConfirmRenewal records that the renewal was read from the log and applied. The
// term starts when the renewal was sent: an observer can't have read it earlier,
// so the observer's term ends no earlier than the holder's. If the term started at
// the answer, a slow answer would extend the holder's term beyond the observer's.
func (h *Holder) ConfirmRenewal(sequence uint64) {
	for i, s := range h.unconfirmed {
		if s.sequence != sequence {
			continue
		}
		if !h.confirmed || s.sentAt.After(h.termStart) {
			h.termStart = s.sentAt
		}
		h.confirmed = true
		h.unconfirmed = append(h.unconfirmed[:i:i], h.unconfirmed[i+1:]...)
		return
	}
}

// RecordRelayRequest records that a relay is about to be asked for the renewal with
// this number. The caller reads now before it builds the message. Numbers
// increase.
func (h *Holder) RecordRelayRequest(now time.Time, number uint64) {
	h.relayRequests = append(h.relayRequests, sentRenewal{number, now})
	if len(h.relayRequests) > maxUnconfirmed {
		h.relayRequests = h.relayRequests[1:]
	}
}

// ConfirmRelayRenewal records that the log renewed the session up to this number.
// The term starts when the relay was asked: any relay proposed the renewal later
// than that, so no observer has read it before. Starting the term when this VM
// reads the renewal would be too late by its lag behind the log.
func (h *Holder) ConfirmRelayRenewal(number uint64) {
	for len(h.relayRequests) > 0 && h.relayRequests[0].sequence <= number {
		if at := h.relayRequests[0].sentAt; h.confirmed && at.After(h.termStart) {
			h.termStart = at
		}
		h.relayRequests = h.relayRequests[1:]
	}
}

// MarkLost records that the log ended the session. A lost session never becomes
// valid again; its owner opens another with a new Holder.
func (h *Holder) MarkLost() { h.lost = true }

// IsLost reports whether the log ended the session.
func (h *Holder) IsLost() bool { return h.lost }

// CanSendOrders reports whether the session is certainly live for every observer.
// The result can be outdated when an order is sent, if the process was paused in
// between; the effect of a late order is bounded by the rights, not by the lease.
//
// If the term ended without MarkLost, the log may be out of reach for all VMs. The
// holder may then continue to load units by the rights that it has read from the
// log: they stay counted until its session is settled.
func (h *Holder) CanSendOrders(now time.Time) bool {
	return h.confirmed && !h.lost && now.Sub(h.termStart) < h.config.Term-h.config.Margin
}

// IsOwnRenewalDue reports whether a holder whose renewals a relay collects must
// send its own because none was confirmed for OwnRenewalTimeout.
func (h *Holder) IsOwnRenewalDue(now time.Time) bool {
	return h.IsRenewalDue(now) && (!h.confirmed || now.Sub(h.termStart) >= h.config.OwnRenewalTimeout())
}

// IsRenewalDue reports whether it is time to send the next renewal.
func (h *Holder) IsRenewalDue(now time.Time) bool {
	return !h.lost && (h.lastSentAt.IsZero() || now.Sub(h.lastSentAt) >= h.config.RenewInterval)
}
