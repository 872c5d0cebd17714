package entryvm

// LoadSignals are what entry VMs measure of engines and load, each list sorted by its key. They are summed
// up over VMs like Load: a report holds those of its sender, Load those of a failure domain, and
// Overview those of the whole fleet, the receiver included.
type LoadSignals struct {
	// Paces are how fast engines write streams.
	Paces []EnginePace `cbor:"1,keyasint,omitempty"`
	// Workspaces are what workspaces use of the engines.
	Workspaces []WorkspaceUsage `cbor:"2,keyasint,omitempty"`
	// Units are the requests that wait for and are sent to each unit.
	Units []UnitLoad `cbor:"3,keyasint,omitempty"`
}

// EnginePace is how fast one start of an engine writes streams of a model. Its key is Backend, Started
// and Model. Counts are of a recent window, so that they can be summed up over VMs.
type EnginePace struct {
	Backend string `cbor:"1,keyasint,omitempty"`
	Started int64  `cbor:"2,keyasint,omitempty"`
	Model   string `cbor:"3,keyasint,omitempty"`
	// Gaps counts the times between two events, by the buckets of package routing/pace.
	Gaps []uint32 `cbor:"4,keyasint,omitempty"`
	// FirstEvents counts first events, by the same buckets, from the sending of the request.
	FirstEvents []uint32 `cbor:"5,keyasint,omitempty"`
}

// WorkspaceUsage is what a workspace uses of a service's engines. Its key is Service and Workspace.
type WorkspaceUsage struct {
	Service   string `cbor:"1,keyasint,omitempty"`
	Workspace string `cbor:"2,keyasint,omitempty"`
	// Used is the slot time used, in seconds for each second.
	Used float32 `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of its requests that wait.
	Waiting int `cbor:"4,keyasint,omitempty"`
}

// UnitLoad is the load of a unit by requests of one kind. Its key is Unit, Priority and Target.
type UnitLoad struct {
	// Unit is the hash of the unit's name by fleetload.UnitHash.
	Unit     string `cbor:"1,keyasint,omitempty"`
	Priority int    `cbor:"2,keyasint,omitempty"`
	// Target is the target for the time to the first event, in milliseconds.
	Target int64 `cbor:"6,keyasint,omitempty"`
	// Waiting is the number of requests that wait. The others are rates in requests for 10 seconds, as
	// integers take fewer bytes: Arrived those that arrived, Returned those of them whose callers had
	// been refused before, Usual the others over a longer time, and Dispatched those that were sent
	// to backend servers.
	Waiting    int    `cbor:"3,keyasint,omitempty"`
	Arrived    uint32 `cbor:"4,keyasint,omitempty"`
	Dispatched uint32 `cbor:"5,keyasint,omitempty"`
	Returned   uint32 `cbor:"7,keyasint,omitempty"`
	Usual      uint32 `cbor:"8,keyasint,omitempty"`
}
