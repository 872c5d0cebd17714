package lease_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/lease"
	"bergamotreel/state"
)

const session = state.SessionID(7)

// at is a time of the test, in seconds.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// TestSlowAnswerGivesNoLongerTerm: the answer of a renewal comes 8 s late. The
// others read the renewal at once and end the session a term later; by then the
// holder has stopped. The naive twin counts its term from the answer and goes on
// ordering beside the next keeper.
func TestSlowAnswerGivesNoLongerTerm(t *testing.T) {
	holder, naive, observer := lease.NewHolder(lease.Default), lease.NewHolder(lease.Default), lease.NewObserver(lease.Default)
	holder.RecordRenewalSent(at(0), 1)
	observer.RecordLogProgress(at(0))
	observer.RecordRenewal(at(0.1), session, 70)
	holder.ConfirmRenewal(1)
	naive.RecordRenewalSent(at(8), 1)
	naive.ConfirmRenewal(1)
	for s := 1.0; s <= 13; s++ {
		observer.RecordLogProgress(at(s))
	}
	got := observer.Expired(at(12.2))
	testkit.Need(t, slices.Equal(got, []state.SessionExpire{{Session: session, LastRenewal: 70}}), "expired: %v", got)
	testkit.That(t, !holder.CanSendOrders(at(12.2)), "the holder orders after others ended its session")
	testkit.That(t, naive.CanSendOrders(at(12.2)), "the naive twin stopped in time")
}

// TestNobodyTakesOverFromALiveHolder draws renewals that are slow, lost or never
// sent, answers that come late, and an observer that reads with a lag and loses
// the log. Whenever the observer's word would end the session, the holder has
// already stopped.
func TestNobodyTakesOverFromALiveHolder(t *testing.T) {
	ended := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 3))
		holder, observer := lease.NewHolder(lease.Default), lease.NewObserver(lease.Default)
		var landing, unread, answers []uint64
		newest, stalled := uint64(0), false
		for now := 0.0; now < 120; now += 0.25 {
			if holder.IsRenewalDue(at(now)) && random.IntN(20) > 0 {
				holder.RecordRenewalSent(at(now), uint64(now*4)+1)
				landing = append(landing, uint64(now*4)+1)
			}
			if random.IntN(80) == 0 {
				stalled = !stalled
			}
			if len(landing) > 0 && !stalled && random.IntN(3) == 0 {
				newest, landing = landing[0], landing[1:]
				unread, answers = append(unread, newest), append(answers, newest)
			}
			if len(unread) > 0 && random.IntN(2) == 0 {
				observer.RecordRenewal(at(now), session, state.Revision(unread[0]))
				unread = unread[1:]
			}
			if len(answers) > 0 && random.IntN(8) == 0 {
				holder.ConfirmRenewal(answers[0])
				answers = answers[1:]
			}
			if random.IntN(4) > 0 {
				observer.RecordLogProgress(at(now))
			}
			for _, expire := range observer.Expired(at(now)) {
				if expire.LastRenewal == state.Revision(newest) {
					ended++
					testkit.Need(t, !holder.CanSendOrders(at(now)), "seed %d: ended at %v s while the holder may order", seed, now)
				}
			}
		}
	}
	testkit.That(t, ended >= 2000, "only %d times was a session ended", ended)
}

// TestCollectedRenewals: a VM asks its relay every second, and folds what the relay
// proposed with a lag of up to eight seconds. Its term counts from the asking; a
// naive holder, which counts from the folding, would order on after the others
// ended its session. Until the own renewal is due, the relay's are enough; after
// that, what is left of the term suffices for a second try.
func TestCollectedRenewals(t *testing.T) {
	config := lease.Default
	holder := lease.NewHolder(config)
	holder.RecordRenewalSent(at(0), 0)
	holder.ConfirmRenewal(0)
	for number := range uint64(5) {
		holder.RecordRelayRequest(at(float64(number)), number)
	}
	testkit.That(t, !holder.IsOwnRenewalDue(at(5.9)) && holder.IsOwnRenewalDue(at(6)), "the own renewal is not due 6 s after the opening")
	for _, c := range []struct {
		number uint64
		until  float64
	}{{2, 12}, {1, 12}, {4, 14}, {2, 14}, {9, 14}} {
		holder.ConfirmRelayRenewal(c.number)
		testkit.That(t, holder.CanSendOrders(at(c.until-0.1)) && !holder.CanSendOrders(at(c.until)),
			"after renewal %d it may not order until %v s", c.number, c.until)
	}
	for _, config := range []lease.Config{lease.Default, {Term: 10 * time.Second, Margin: 10 * time.Second / 6, RenewInterval: 2500 * time.Millisecond}} {
		left := config.Term - config.Margin - config.OwnRenewalTimeout()
		testkit.That(t, left >= config.RenewInterval, "%v left for own renewals every %v", left, config.RenewInterval)
	}
}

// TestOutageEndsNoSession: the log is down for an hour. No VM can renew. When
// the log is back, the first VM to see it must not call all sessions expired;
// one that stays silent for a term after that is.
func TestOutageEndsNoSession(t *testing.T) {
	observer := lease.NewObserver(lease.Default)
	observer.RecordLogProgress(at(0))
	observer.RecordRenewal(at(0), session, 70)
	observer.RecordLogProgress(at(3600))
	got := observer.Expired(at(3600))
	testkit.Need(t, got == nil, "expired by the outage: %v", got)
	for s := 3600.0; s <= 3612; s++ {
		observer.RecordLogProgress(at(s))
	}
	got = observer.Expired(at(3612))
	testkit.Need(t, len(got) == 1, "a silent session lives on: %v", got)
	observer.ApplySessions(at(3612), map[state.SessionID]*state.Session{session: {ID: session, Ended: true}})
	got = observer.Expired(at(9999))
	testkit.Need(t, got == nil, "an ended session is called expired again: %v", got)
}

// TestHolderStates: before the opening is confirmed, after the session was lost
// and when the answer to an older renewal comes last.
func TestHolderStates(t *testing.T) {
	holder := lease.NewHolder(lease.Default)
	testkit.That(t, !holder.CanSendOrders(at(0)) && holder.IsRenewalDue(at(0)), "a holder that sent nothing")
	holder.RecordRenewalSent(at(0), 1)
	holder.RecordRenewalSent(at(3), 2)
	testkit.That(t, !holder.CanSendOrders(at(4)) && !holder.IsRenewalDue(at(4)), "a holder without an answer")
	holder.ConfirmRenewal(2)
	holder.ConfirmRenewal(1)
	testkit.That(t, holder.CanSendOrders(at(12.9)) && !holder.CanSendOrders(at(13)) && holder.IsRenewalDue(at(6)),
		"an older answer moved the term")
	holder.MarkLost()
	testkit.That(t, !holder.CanSendOrders(at(5)) && !holder.IsRenewalDue(at(50)) && holder.IsLost(), "a lost session lives on")
}

// TestGoneOnlyByFreshLists walks through what a VM list that lags, fails or
// stands still may make of a VM. Calling a live VM gone would free memory that
// its late orders still fill.
func TestGoneOnlyByFreshLists(t *testing.T) {
	life := lease.Default.MessageLifetime.Seconds()
	type list struct {
		at      float64
		version uint64
		vms     []string
	}
	both, alone := []string{"me", "vm"}, []string{"me"}
	for name, c := range map[string]struct {
		lists []list
		gone  bool
	}{
		"no list":           {nil, false},
		"listed":            {[]list{{0, 1, both}, {1000, 1, both}}, false},
		"dropped":           {[]list{{0, 1, both}, {1, 2, alone}, {1 + life, 2, alone}}, true},
		"dropped just now":  {[]list{{0, 1, both}, {1, 2, alone}, {life, 2, alone}}, false},
		"not refreshed":     {[]list{{0, 1, both}, {1, 2, alone}}, false},
		"came back":         {[]list{{0, 1, both}, {1, 2, alone}, {5, 3, both}, {6, 4, alone}, {1 + life, 4, alone}}, false},
		"older list":        {[]list{{0, 2, both}, {1, 1, alone}, {900, 1, alone}}, false},
		"list without me":   {[]list{{0, 1, both}, {1, 2, nil}, {900, 2, nil}}, false},
		"never listed":      {[]list{{0, 1, alone}, {1 + life, 1, alone}}, false},
		"never listed long": {[]list{{0, 1, alone}, {1 + 10*life, 1, alone}}, true},
	} {
		departures := lease.NewDepartures(lease.Default, "me", "1", at(0))
		for _, l := range c.lists {
			departures.ApplyList(at(l.at), l.version, l.vms)
			departures.IsDeparted("vm")
		}
		testkit.Equal(t, name+": gone", departures.IsDeparted("vm"), c.gone)
		engines := map[string]*state.Engine{"vm": {Name: "vm"}}
		got := len(departures.RemovableEngines(engines))
		testkit.That(t, (got == 1) == c.gone, "%s: %d engines removable", name, got)
	}
}

// TestEarlierProcessOfThisVM: an entry VM's process is killed and started again.
// It ends the session that the dead one left behind at once, and settles it when
// the dead one's last messages have died out; never that of its own successor.
func TestEarlierProcessOfThisVM(t *testing.T) {
	departures := lease.NewDepartures(lease.Default, "me", "2", at(0))
	departures.ApplyList(at(0), 1, []string{"me", "other"})
	sessions := map[state.SessionID]*state.Session{
		1: {ID: 1, VM: "me", Incarnation: "1", LastRenewal: 5},
		2: {ID: 2, VM: "me", Incarnation: "0", Ended: true},
		3: {ID: 3, VM: "other", Incarnation: "1", Ended: true},
		9: {ID: 9, VM: "me", Incarnation: "3"},
	}
	abandoned := departures.AbandonedSessions(sessions)
	testkit.Need(t, abandoned == nil, "abandoned before an own session: %v", abandoned)
	sessions[4] = &state.Session{ID: 4, VM: "me", Incarnation: "2"}
	abandoned = departures.AbandonedSessions(sessions)
	testkit.Need(t, slices.Equal(abandoned, []state.SessionExpire{{Session: 1, LastRenewal: 5}}), "abandoned: %v", abandoned)
	settled := departures.SettleableSessions(at(29), sessions)
	testkit.Need(t, settled == nil, "settled while messages live: %v", settled)
	settled = departures.SettleableSessions(at(30), sessions)
	testkit.Need(t, slices.Equal(settled, []state.SessionSettle{{Session: 2}}), "settleable: %v", settled)
}

// TestConfigCheck: a term that two lost renewals end, or none at all, is refused.
func TestConfigCheck(t *testing.T) {
	tight := lease.Default
	tight.Term = 7 * time.Second
	testkit.That(t, lease.Default.Check() == nil && tight.Check() != nil && (lease.Config{}).Check() != nil,
		"wrong verdict on a timing")
}
