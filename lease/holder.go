// Package lease holds the clock logic of sessions: when a holder may still
// order, when an observer may call a session expired, and when a VM has been
// gone for so long that none of its messages can arrive. It reads no clock; all
// times are the process's own monotonic clock, passed in, and are never compared
// between VMs.
//
// No invariant of the state rests on these times: rights are counted until they
// are proved gone, whoever orders when. The lease keeps two keepers from working
// against each other, and a settled session from being settled too early.
//
// What callers may rely on: while Holder.MayOrder says true, no Observer with the
// same Config names the session in Expired, however far apart their clocks
// started, as long as they run at rates that differ by less than Config.Margin in
// a Config.Term. Only Config.Check fails, with the class Error. The types are not
// safe for concurrent use.
package lease

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lease")

// Config is the timing of sessions, the same on every VM.
type Config struct {
	// Term is how long a session lives after its newest renewal.
	Term time.Duration
	// Margin is how long before the end of its term a holder stops: it covers
	// the drift of two monotonic clocks over one term and the way of an order.
	Margin time.Duration
	// RenewEvery is the pause between two renewals.
	RenewInterval time.Duration
	// MessageLifetime is the longest time between the sending of a message and
	// its effect, after which the network has dropped it.
	MessageLifetime time.Duration
}

// Default is the timing unless the settings say otherwise. A renewal every 3 s
// costs 9 VMs 3 appends a second of the log's several hundred; three of them in
// a row may be lost before the term ends.
var Default = Config{
	Term:            12 * time.Second,
	Margin:          2 * time.Second,
	RenewInterval:   3 * time.Second,
	MessageLifetime: 30 * time.Second,
}

// Check returns what is wrong with the timing.
func (c Config) Check() error {
	switch {
	case c.RenewInterval <= 0 || c.Margin <= 0 || c.MessageLifetime <= 0:
		return Error.New("renewal, margin and message lifetime must be above 0")
	case c.Term < c.Margin+2*c.RenewInterval:
		return Error.New("term %v is below the margin %v and two renewals of %v", c.Term, c.Margin, c.RenewInterval)
	}
	return nil
}

// OwnRenewAfter is how old the newest confirmed renewal of a holder may be whose
// renewals a relay collects, before it proposes its own: after that, two fifths of
// the time in which it may order are left for that. A relay that works brings the
// age to RenewEvery, a heartbeat and an append, so that it is not reached: 5 s of
// 8.3 s with a term of 10 s and renewals every 2.5 s.
func (c Config) OwnRenewalTimeout() time.Duration { return (c.Term - c.Margin) * 3 / 5 }

// maxUnconfirmed bounds the renewals whose outcome is awaited.
const maxUnconfirmed = 16

// Holder is the owner's view of its own session.
type Holder struct {
	config Config
	// sent are the sending times of the renewals that are not confirmed yet.
	sent []sentRenewal
	// asked are the times at which a relay was asked for the newest renewals.
	asked []sentRenewal
	// validFrom is the sending time of the newest confirmed renewal.
	validFrom time.Time
	lastSent  time.Time
	confirmed bool
	lost      bool
}

type sentRenewal struct {
	sequence uint64
	at       time.Time
}

// NewHolder returns the view before the session was opened. The opening counts
// as the first renewal.
func NewHolder(config Config) *Holder { return &Holder{config: config} }

// SentRenewal notes that the renewal (or the opening) with this proposal
// sequence is about to be sent: now is read before the append starts.
func (h *Holder) RecordRenewalSent(now time.Time, sequence uint64) {
	h.lastSent = now
	h.sent = append(h.sent, sentRenewal{sequence, now})
	if len(h.sent) > maxUnconfirmed {
		h.sent = h.sent[1:]
	}
}

// Confirmed notes that the renewal was folded as applied. The term counts from
// its sending: an observer can't have read it earlier than that, so its term
// ends no earlier than the holder's. Counting from the answer would let a slow
// answer stretch the holder's term beyond the observer's.
func (h *Holder) ConfirmRenewal(sequence uint64) {
	for i, s := range h.sent {
		if s.sequence != sequence {
			continue
		}
		if !h.confirmed || s.at.After(h.validFrom) {
			h.validFrom = s.at
		}
		h.confirmed = true
		h.sent = append(h.sent[:i:i], h.sent[i+1:]...)
		return
	}
}

// Asked notes that a relay is about to be asked for the renewal of this number:
// now is read before the message is made. Numbers grow.
func (h *Holder) RecordRelayRequest(now time.Time, number uint64) {
	h.asked = append(h.asked, sentRenewal{number, now})
	if len(h.asked) > maxUnconfirmed {
		h.asked = h.asked[1:]
	}
}

// Collected notes that the fold renewed the session by the number. The term counts
// from the asking: whatever relay proposed it did so later, so no observer has read
// it before. Counting from the folding would be too late by all the time in which
// this VM lagged behind the log.
func (h *Holder) ConfirmRelayRenewal(number uint64) {
	for len(h.asked) > 0 && h.asked[0].sequence <= number {
		if at := h.asked[0].at; h.confirmed && at.After(h.validFrom) {
			h.validFrom = at
		}
		h.asked = h.asked[1:]
	}
}

// Lost notes that the fold ended the session. A lost session never comes back;
// its owner opens another with a new Holder.
func (h *Holder) MarkLost() { h.lost = true }

// IsLost tells whether the fold ended the session.
func (h *Holder) IsLost() bool { return h.lost }

// MayOrder tells whether the session surely is live for every observer. The
// answer can be stale by the time an order leaves (a pause comes between); what
// a late order may do is bounded by the rights, not by this.
//
// A holder that lapsed without being Lost may be cut off from a log that nobody
// can reach. It may go on loading by the rights that it has folded: they stay
// counted until its session is settled.
func (h *Holder) CanSendOrders(now time.Time) bool {
	return h.confirmed && !h.lost && now.Sub(h.validFrom) < h.config.Term-h.config.Margin
}

// OwnRenewDue tells, where a relay collects the renewals, whether the own one must
// be sent because none was confirmed for too long.
func (h *Holder) IsOwnRenewalDue(now time.Time) bool {
	return h.IsRenewalDue(now) && (!h.confirmed || now.Sub(h.validFrom) >= h.config.OwnRenewalTimeout())
}

// RenewDue tells whether it is time to send the next renewal.
func (h *Holder) IsRenewalDue(now time.Time) bool {
	return !h.lost && (h.lastSent.IsZero() || now.Sub(h.lastSent) >= h.config.RenewInterval)
}
