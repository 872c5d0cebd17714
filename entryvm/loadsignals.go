package entryvm

// LoadSignals are what entry VMs measure of engines and load, each list sorted by its key. They are summed
// up over VMs like Load: a report holds those of its sender, Load those of a failure domain, and
// Overview those of the whole fleet, the receiver included.
type LoadSignals struct {
	// Paces are how fast engines write streams.
	Paces []EnginePace `cbor:"1,keyasint,omitempty"`
	// Workspaces are what workspaces use of the backend servers, by service: names of services would
	// be a third of the message otherwise.
	Workspaces []ServiceUsage `cbor:"2,keyasint,omitempty"`
	// Units are the requests that wait for and are sent to each unit.
	Units []UnitLoad `cbor:"3,keyasint,omitempty"`
	// Queues are the loads of small plain services and of their backend servers.
	Queues []QueueLoad `cbor:"4,keyasint,omitempty"`
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

// ServiceUsage is what workspaces use of a service's backend servers, sorted by workspace. Its key is
// Service.
type ServiceUsage struct {
	Service    string           `cbor:"1,keyasint,omitempty"`
	Workspaces []WorkspaceUsage `cbor:"2,keyasint,omitempty"`
}

// WorkspaceUsage is what a workspace uses of a service. Its key is Workspace. It is encoded as an array,
// so fields can't be added to it.
type WorkspaceUsage struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Used is the smoothed slot time used, in milliseconds for each second.
	Used int64
	// Waiting is the number of its requests that wait.
	Waiting int
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

// QueueLoad is the load of a small plain service or, with Backend, of one of its backend servers. Its key
// is Service and Backend. Rates are in requests per second.
type QueueLoad struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Backend string `cbor:"2,keyasint,omitempty"`
	// Arrived, Sent and Rejected are the rates of requests that arrived, were answered and were
	// rejected for want of room.
	Arrived  float32 `cbor:"3,keyasint,omitempty"`
	Sent     float32 `cbor:"4,keyasint,omitempty"`
	Rejected float32 `cbor:"5,keyasint,omitempty"`
	// Work is the number of slots in use, from the work time of the answered requests.
	Work float32 `cbor:"6,keyasint,omitempty"`
	// Length is the sum of the queue lengths that VMs assume, VMs their number.
	Length float32 `cbor:"7,keyasint,omitempty"`
	VMs    int     `cbor:"8,keyasint,omitempty"`
}
