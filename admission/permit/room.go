package permit

import "time"

const (
	// RoomPermitTTL is how long an unused permit for room is valid. It is short because the
	// room stays empty meanwhile.
	RoomPermitTTL = 150 * time.Millisecond
	// holdingTTL is how long the issuer counts what a VM said it holds. Later, the counts of
	// requests in flight that VMs report show it.
	holdingTTL = time.Second
	// rejectionPause is how long no permits are granted after the backend server rejected a
	// request for want of room: some of it is used by requests that are not counted.
	rejectionPause = 500 * time.Millisecond
	// roomReserveDivisor is the divisor by which the slots are converted into those that stay
	// free. Probes and requests whose callers have left may use them.
	roomReserveDivisor = 8
	// maxRoomRetryAfter bounds the delay until the next request for room.
	maxRoomRetryAfter = 400 * time.Millisecond
)

// Room divides the slots of a backend server among entry VMs, so that it never has to reject a
// request for want of room. It answers this load pattern: more requests are waiting on all VMs
// together than the backend server has slots for, it queues none, and it crashes if it rejects
// many. Counts of requests in flight that VMs report to each other are too old for that: each
// VM would see the same free slot.
//
// The zero value is ready to use. It is not safe for concurrent use.
type Room struct {
	holdings    map[string]holding
	pausedUntil time.Time
	// denied counts the requests for room that were granted none since the last grant.
	denied int
}

// holding is what a VM said it holds: permits that it may use and requests in flight.
type holding struct {
	count int
	at    time.Time
}

// RoomRequest is an entry VM's request for room.
type RoomRequest struct {
	// VM is the requesting VM. Held is how many permits it has and how many requests it has in
	// flight, Want how many more permits it wants.
	VM         string
	Held, Want int
	// Slots is how many requests the backend server runs at once, and InFlight how many all VMs
	// have in flight there by their reports.
	Slots, InFlight int
}

// Issue grants permits, and returns when to request more if there is no room for all.
func (r *Room) Issue(now time.Time, request RoomRequest) (granted int, retryAfter time.Duration) {
	if r.holdings == nil {
		r.holdings = make(map[string]holding)
	}
	r.holdings[request.VM] = holding{request.Held, now}
	free := usableSlots(request.Slots) - max(r.held(now), request.InFlight)
	if now.Before(r.pausedUntil) {
		free = 0
	}
	granted = max(0, min(request.Want, free))
	if granted > 0 {
		r.holdings[request.VM] = holding{request.Held + granted, now}
		r.denied = 0
	} else {
		r.denied++
	}
	return granted, min(time.Duration(max(1, r.denied))*minRetryAfter, maxRoomRetryAfter)
}

// RecordRejection records that the backend server rejected a request for want of room.
func (r *Room) RecordRejection(now time.Time) { r.pausedUntil = now.Add(rejectionPause) }

// held returns how much all VMs hold, and drops what was said too long ago.
func (r *Room) held(now time.Time) int {
	sum := 0
	for vm, h := range r.holdings {
		if now.Sub(h.at) > holdingTTL {
			delete(r.holdings, vm)
			continue
		}
		sum += h.count
	}
	return sum
}

// usableSlots returns the slots that permits may use: at least one.
func usableSlots(slots int) int {
	reserve := (slots + roomReserveDivisor - 1) / roomReserveDivisor
	return max(1, slots-reserve)
}
