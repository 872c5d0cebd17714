package serving

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/service"
)

// attemptsUnsettled counts the attempts whose backend server may read them later.
var attemptsUnsettled = metrics.NewCounter("bergamotreel_attempts_unsettled_total")

// arrival is what is known of an attempt's arrival at its backend server.
type arrival int

const (
	// arrivalNone is that of an attempt that doesn't arrive: no byte of it was sent.
	arrivalNone arrival = iota
	// arrivalSettled is that of an attempt that has arrived, or is known never to.
	arrivalSettled
	// arrivalUnsettled is that of an attempt that may arrive at any later time: its backend server has given no sign
	// that it has read it. Closing the connection doesn't take back what a stopped process has still to read.
	arrivalUnsettled
)

// classifyArrival returns what the result of an attempt shows of its arrival. head is the head of its answer, nil for
// none.
func classifyArrival(head *service.ForwardResponse, err error) arrival {
	switch {
	case head != nil, errors.Is(err, service.ErrClosedByServer):
		return arrivalSettled
	case errors.Is(err, service.ErrNotSent):
		return arrivalNone
	case errors.Is(err, service.ErrNotRun):
		return arrivalSettled
	default:
		attemptsUnsettled.Inc()
		return arrivalUnsettled
	}
}
