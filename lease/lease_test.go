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

const testSession = state.SessionID(7)

// at returns the test time at the given number of seconds.
func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a holder that sends orders after its session expired. The answer to
// a renewal arrives 8 s late, while the observer reads the renewal at once and ends
// the session a term later. The naive variant starts its term at the answer and
// would still send orders beside the next keeper.
func TestTermCountsFromSendingOfRenewal(t *testing.T) {
	holder, naive, observer := lease.NewHolder(lease.Default), lease.NewHolder(lease.Default), lease.NewObserver(lease.Default)
	holder.RecordRenewalSent(at(0), 1)
	observer.RecordLogProgress(at(0))
	observer.RecordRenewal(at(0.1), testSession, 70)
	holder.ConfirmRenewal(1)
	naive.RecordRenewalSent(at(8), 1)
	naive.ConfirmRenewal(1)
	for s := 1.0; s <= 13; s++ {
		observer.RecordLogProgress(at(s))
	}
	got := observer.Expired(at(12.2))
	testkit.Need(t, slices.Equal(got, []state.SessionExpire{{Session: testSession, LastRenewal: 70}}), "expired: %v", got)
	testkit.That(t, !holder.CanSendOrders(at(12.2)), "the holder may send orders after others ended its session")
	testkit.That(t, naive.CanSendOrders(at(12.2)), "the naive variant stopped in time")
}

// Guards against an observer that ends the session of a holder that may still send
// orders. Renewals are slow, lost or never sent, answers arrive late, and the observer
// reads with a lag and loses the log, all at random.
func TestObserverNeverExpiresLiveHolder(t *testing.T) {
	ended := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 3))
		holder, observer := lease.NewHolder(lease.Default), lease.NewObserver(lease.Default)
		var pending, unread, answers []uint64
		newest, stalled := uint64(0), false
		for now := 0.0; now < 120; now += 0.25 {
			if holder.IsRenewalDue(at(now)) && random.IntN(20) > 0 {
				holder.RecordRenewalSent(at(now), uint64(now*4)+1)
				pending = append(pending, uint64(now*4)+1)
			}
			if random.IntN(80) == 0 {
				stalled = !stalled
			}
			if len(pending) > 0 && !stalled && random.IntN(3) == 0 {
				newest, pending = pending[0], pending[1:]
				unread, answers = append(unread, newest), append(answers, newest)
			}
			if len(unread) > 0 && random.IntN(2) == 0 {
				observer.RecordRenewal(at(now), testSession, state.Revision(unread[0]))
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
					testkit.Need(t, !holder.CanSendOrders(at(now)), "seed %d: ended at %v s while the holder may send orders", seed, now)
				}
			}
		}
	}
	testkit.That(t, ended >= 2000, "only %d sessions were ended", ended)
}

// Guards against a holder whose term starts when it reads a renewal by its relay: it
// lags behind the log by up to eight seconds and would send orders after the others
// ended its session. The VM asks its relay every second, and its term starts when it
// asks. Its own renewal becomes due early enough for a second attempt within the term.
func TestRelayRenewals(t *testing.T) {
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
			"after renewal %d it may not send orders until exactly %v s", c.number, c.until)
	}
	for _, config := range []lease.Config{lease.Default, {Term: 10 * time.Second, Margin: 10 * time.Second / 6, RenewInterval: 2500 * time.Millisecond}} {
		left := config.Term - config.Margin - config.OwnRenewalTimeout()
		testkit.That(t, left >= config.RenewInterval, "%v left for own renewals every %v", left, config.RenewInterval)
	}
}

// Guards against sessions that expire by an outage of the log, in which no VM can
// renew. The first VM to reach the log again must not declare all sessions expired. A
// session that is not renewed for a term after the outage does expire.
func TestLogOutageExpiresNoSession(t *testing.T) {
	observer := lease.NewObserver(lease.Default)
	observer.RecordLogProgress(at(0))
	observer.RecordRenewal(at(0), testSession, 70)
	observer.RecordLogProgress(at(3600))
	got := observer.Expired(at(3600))
	testkit.Need(t, got == nil, "expired by the outage: %v", got)
	for s := 3600.0; s <= 3612; s++ {
		observer.RecordLogProgress(at(s))
	}
	got = observer.Expired(at(3612))
	testkit.Need(t, len(got) == 1, "a session without renewals has not expired: %v", got)
	observer.ApplySessions(at(3612), map[state.SessionID]*state.Session{testSession: {ID: testSession, Ended: true}})
	got = observer.Expired(at(9999))
	testkit.Need(t, got == nil, "an ended session expires again: %v", got)
}

// TestHolderStates checks a holder before the opening is confirmed, after the session
// was lost, and when the answer to an older renewal arrives last.
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
	testkit.That(t, !holder.CanSendOrders(at(5)) && !holder.IsRenewalDue(at(50)) && holder.IsLost(), "a lost session is still in use")
}

// Guards against a live VM that counts as departed because the VM list lags, fails or
// is not refreshed. It would free memory that the VM's late orders still fill.
func TestDepartureRequiresTrustedLists(t *testing.T) {
	lifetime := lease.Default.MessageLifetime.Seconds()
	type list struct {
		at      float64
		version uint64
		vms     []string
	}
	both, alone := []string{"me", "vm"}, []string{"me"}
	for name, c := range map[string]struct {
		lists    []list
		departed bool
	}{
		"no list":           {nil, false},
		"listed":            {[]list{{0, 1, both}, {1000, 1, both}}, false},
		"dropped":           {[]list{{0, 1, both}, {1, 2, alone}, {1 + lifetime, 2, alone}}, true},
		"dropped just now":  {[]list{{0, 1, both}, {1, 2, alone}, {lifetime, 2, alone}}, false},
		"not refreshed":     {[]list{{0, 1, both}, {1, 2, alone}}, false},
		"came back":         {[]list{{0, 1, both}, {1, 2, alone}, {5, 3, both}, {6, 4, alone}, {1 + lifetime, 4, alone}}, false},
		"older list":        {[]list{{0, 2, both}, {1, 1, alone}, {900, 1, alone}}, false},
		"list without me":   {[]list{{0, 1, both}, {1, 2, nil}, {900, 2, nil}}, false},
		"never listed":      {[]list{{0, 1, alone}, {1 + lifetime, 1, alone}}, false},
		"never listed long": {[]list{{0, 1, alone}, {1 + 10*lifetime, 1, alone}}, true},
	} {
		departures := lease.NewDepartures(lease.Default, "me", "1", at(0))
		for _, l := range c.lists {
			departures.ApplyList(at(l.at), l.version, l.vms)
			departures.IsDeparted("vm")
		}
		testkit.Equal(t, name+": departed", departures.IsDeparted("vm"), c.departed)
		engines := map[string]*state.Engine{"vm": {Name: "vm"}}
		got := len(departures.RemovableEngines(engines))
		testkit.That(t, (got == 1) == c.departed, "%s: %d engines removable", name, got)
	}
}

// Guards against a restarted entry VM that leaves its former session open, or settles it
// while messages of the former process can still arrive. The new process ends the session
// of the former one at once and settles it after the lifetime of its last messages. It
// never touches the session of its own successor.
func TestSessionsOfEarlierProcess(t *testing.T) {
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
	testkit.Need(t, settled == nil, "settled while messages can arrive: %v", settled)
	settled = departures.SettleableSessions(at(30), sessions)
	testkit.Need(t, slices.Equal(settled, []state.SessionSettle{{Session: 2}}), "settleable: %v", settled)
}

// TestConfigCheck checks that a zero Config and a term too short for two lost renewals
// are refused.
func TestConfigCheck(t *testing.T) {
	tight := lease.Default
	tight.Term = 7 * time.Second
	testkit.That(t, lease.Default.Check() == nil && tight.Check() != nil && (lease.Config{}).Check() != nil,
		"Check accepted an invalid Config or refused a valid one")
}
