package permit_test

import (
	"testing"
	"time"

	"bergamotreel/admission/permit"
	"bergamotreel/internal/testkit"
)

// Guards against VMs that together send a backend server more requests than it has slots,
// because each sees the same free ones.
func TestRoomIsGrantedOnce(t *testing.T) {
	var r permit.Room
	now := time.Unix(0, 0)
	total := 0
	for _, vm := range []string{"a", "b", "c", "d"} {
		granted, _ := r.Issue(now, permit.RoomRequest{VM: vm, Want: 3, Slots: 8})
		total += granted
	}
	testkit.Equal(t, "granted of 8 slots", total, 7)
	granted, retry := r.Issue(now, permit.RoomRequest{VM: "a", Held: 3, Want: 1, Slots: 8})
	testkit.That(t, granted == 0 && retry > 0, "%d granted without room, retry after %s", granted, retry)
	granted, _ = r.Issue(now, permit.RoomRequest{VM: "a", Held: 1, Want: 1, Slots: 8})
	testkit.Equal(t, "granted after two requests ended", granted, 1)
}

// Guards against room that is granted although requests fill it that no VM has told this issuer
// of, as after the former issuer was lost.
func TestRoomCountsReportedRequests(t *testing.T) {
	var r permit.Room
	granted, _ := r.Issue(time.Unix(0, 0), permit.RoomRequest{VM: "a", Want: 2, Slots: 8, InFlight: 7})
	testkit.Equal(t, "granted", granted, 0)
}

// Guards against room that stays taken by a VM that was killed.
func TestHoldingsExpire(t *testing.T) {
	var r permit.Room
	now := time.Unix(0, 0)
	granted, _ := r.Issue(now, permit.RoomRequest{VM: "killed", Want: 8, Slots: 8})
	testkit.Equal(t, "granted", granted, 7)
	granted, _ = r.Issue(now.Add(2*time.Second), permit.RoomRequest{VM: "a", Want: 8, Slots: 8})
	testkit.Equal(t, "granted later", granted, 7)
}

// Guards against a backend server that goes on rejecting requests because something else uses
// its slots.
func TestRejectionPausesGrants(t *testing.T) {
	var r permit.Room
	now := time.Unix(0, 0)
	r.RecordRejection(now)
	granted, _ := r.Issue(now.Add(100*time.Millisecond), permit.RoomRequest{VM: "a", Want: 1, Slots: 8})
	testkit.Equal(t, "granted after a rejection", granted, 0)
	granted, _ = r.Issue(now.Add(time.Second), permit.RoomRequest{VM: "a", Want: 1, Slots: 8})
	testkit.Equal(t, "granted a second later", granted, 1)
}
