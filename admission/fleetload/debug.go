package fleetload

import (
	"fmt"
	"time"
)

func Debug(e *Estimator, now time.Time, unit string) string {
	if e == nil {
		return ""
	}
	u := e.units[e.hash(unit)]
	if u == nil {
		return "none"
	}
	out := fmt.Sprintf("over %v C %.0f D %.0f", u.isOverloaded(now), u.capacity, u.dispatched)
	for _, k := range u.kinds {
		out += fmt.Sprintf(" [W %d A %.0f R %.0f U %.0f D %.0f]", k.waiting(), k.Arrived, k.Returned, k.Usual, k.Dispatched)
	}
	return out
}
