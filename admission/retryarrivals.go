package admission

import (
	"slices"
	"time"
)

// unsettledTTL is how long an attempt without a sign of its arrival is kept. By then its backend server has ended or
// has given a sign, or nobody will have it go on.
const unsettledTTL = 5 * time.Minute

// expireInterval is the minimum time between two passes for attempts that are older than unsettledTTL.
const expireInterval = time.Second

// RequestArrivals counts the settled attempts of one request. An attempt is settled once it is known to have arrived
// at its backend server, or that it never will. The first one that is settled is the request's first arrival; each
// further one takes a token that a retry holds. The attempts that are not settled yet hold the others, also a first
// attempt: if its retry arrives before it, it is itself an arrival beyond the first.
type RequestArrivals struct {
	// Budget is that of the request's service.
	Budget  *RetryBudget
	settled int
}

// Settle settles one attempt of the request.
func (r *RequestArrivals) Settle(now time.Time) {
	r.settled++
	if r.settled > 1 {
		r.Budget.settle(now)
	}
}

// UnsettledAttempts holds the attempts of retried requests that were given up without a sign of their arrival, by
// backend server. A stopped process reads what it was sent when it goes on, also over connections that its peer
// has reset. It reads no clock and is not safe for concurrent use. The zero value is empty.
type UnsettledAttempts struct {
	byBackend map[string][]unsettledAttempt
	expiredAt time.Time
}

type unsettledAttempt struct {
	request   *RequestArrivals
	givenUpAt time.Time
}

// Add records an attempt that was given up, after which nothing of it is sent.
func (u *UnsettledAttempts) Add(givenUpAt time.Time, backend string, request *RequestArrivals) {
	if u.byBackend == nil {
		u.byBackend = make(map[string][]unsettledAttempt)
	}
	u.byBackend[backend] = append(u.byBackend[backend], unsettledAttempt{request, givenUpAt})
	request.Budget.doubtful++
}

// Count returns how many attempts are not settled.
func (u *UnsettledAttempts) Count() (count int) {
	for _, attempts := range u.byBackend {
		count += len(attempts)
	}
	return count
}

// Has reports whether attempts at a backend server are not settled.
func (u *UnsettledAttempts) Has(backend string) bool { return len(u.byBackend[backend]) > 0 }

// SettleBefore settles the attempts at a backend server that were given up before a time: the server has answered
// an exchange that began then, so it runs and has read what it was sent earlier, or it has ended.
func (u *UnsettledAttempts) SettleBefore(now time.Time, backend string, before time.Time) {
	kept := slices.DeleteFunc(u.byBackend[backend], func(a unsettledAttempt) bool {
		if !a.givenUpAt.Before(before) {
			return false
		}
		a.request.Budget.doubtful--
		a.request.Settle(now)
		return true
	})
	u.keep(backend, kept)
}

// Remove drops an attempt of a request at a backend server without settling it.
func (u *UnsettledAttempts) Remove(backend string, request *RequestArrivals) {
	attempts := u.byBackend[backend]
	i := slices.IndexFunc(attempts, func(a unsettledAttempt) bool { return a.request == request })
	if i < 0 {
		return
	}
	request.Budget.doubtful--
	u.keep(backend, slices.Delete(attempts, i, i+1))
}

// Drop drops the attempts of a request without settling them.
func (u *UnsettledAttempts) Drop(request *RequestArrivals) {
	for backend, attempts := range u.byBackend {
		kept := slices.DeleteFunc(attempts, func(a unsettledAttempt) bool { return a.request == request })
		request.Budget.doubtful -= len(attempts) - len(kept)
		u.keep(backend, kept)
	}
}

// Expire settles the attempts that are older than unsettledTTL.
func (u *UnsettledAttempts) Expire(now time.Time) {
	if now.Sub(u.expiredAt) < expireInterval {
		return
	}
	u.expiredAt = now
	for backend := range u.byBackend {
		u.SettleBefore(now, backend, now.Add(-unsettledTTL))
	}
}

func (u *UnsettledAttempts) keep(backend string, attempts []unsettledAttempt) {
	if len(attempts) == 0 {
		delete(u.byBackend, backend)
		return
	}
	u.byBackend[backend] = attempts
}
