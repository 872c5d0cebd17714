// Package crash collects evidence of requests, and parts of prompts, that crash the backend servers
// which run them: it finds out which servers have ended, exchanges what they ran with the other entry VMs
// and records verdicts in the registry. Package quarantine decides.
package crash

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/registry"
	"bergamotreel/service"
)

// Fleet is what a Detector needs of the entry VM that it belongs to. Its methods may be called from any
// goroutine.
type Fleet interface {
	// FindServer returns what is known of a backend server, false if it isn't listed. CountServers
	// returns how many are.
	FindServer(id string) (Server, bool)
	CountServers() int
	// ProbeProcess finds out whether a backend server's process has ended. The other VMs are asked about
	// an address that doesn't answer only if askIfSilent is set.
	ProbeProcess(ctx context.Context, b *Server, askIfSilent bool) ProcessState
	// RecordStart records the start that a backend server reported. If it is new, HandleEnd is called for
	// the one before.
	RecordStart(id string, start int64)
	// MarkEnded marks a backend server as unreachable whose process has ended according to another VM.
	MarkEnded(id string)
	// NotifyPeers sends reports to the other VMs at once.
	NotifyPeers()
	// CanActAsPlanner reports whether this VM plans for the fleet.
	CanActAsPlanner(now time.Time) bool
}

// Server is what is known of a backend server.
type Server struct {
	ID, Address, Service string
	IsEngine             bool
	// Leaving is whether it announced that it leaves, Unreachable whether no path to it is known.
	Leaving, Unreachable bool
	// ListedStart identifies the start in its entry, Start the newest known one; 0 for unknown.
	ListedStart, Start int64
}

// End is the end of an instance of a backend server.
type End struct {
	Target service.Target
	// Service is the name of its service.
	Service string
	// Announced is whether it had announced that it would leave. Dropped is whether it is only known not
	// to be listed any more, so that it may still run.
	Announced, Dropped bool
}

// ProcessState is what is known of a backend server's process.
type ProcessState int

const (
	ProcessUnknown ProcessState = iota
	ProcessRuns
	ProcessEnded
)

func (s ProcessState) String() string {
	switch s {
	case ProcessRuns:
		return "runs"
	case ProcessEnded:
		return "ended"
	default:
		return "unknown"
	}
}

// Config holds a Detector's dependencies.
type Config struct {
	Fleet Fleet
	// Engines is asked for the starts of engines.
	Engines engine.Manager
	// Registry holds the records of quarantined requests.
	Registry registry.Registry
	// Incarnation identifies this process among the VM's.
	Incarnation string
	Logger      *zap.Logger
}
