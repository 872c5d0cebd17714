package entryvm

import "time"

// The arguments and replies of the net/rpc methods Peer.Exchange, Peer.Want,
// Peer.Histories, Peer.Records, Peer.Claimed, Peer.Claim and Peer.Settle. They
// are exported for net/rpc only.

// ExchangeArgs carries the digests of the caller.
type ExchangeArgs struct {
	Digests []Digest `cbor:"1,keyasint,omitempty"`
}

// ExchangeReply carries the digests of the callee.
type ExchangeReply struct {
	Digests []Digest `cbor:"1,keyasint,omitempty"`
}

// WantArgs carries demand.
type WantArgs struct {
	// From is the calling VM.
	From   string   `cbor:"1,keyasint,omitempty"`
	Demand []Demand `cbor:"2,keyasint,omitempty"`
}

// WantReply is the empty reply of Want and Histories.
type WantReply struct{}

// HistoriesArgs carries what was learned of units.
type HistoriesArgs struct {
	Histories []UnitHistory `cbor:"1,keyasint,omitempty"`
}

// RecordsArgs asks for control records.
type RecordsArgs struct {
	// From is the first offset wanted.
	From uint64 `cbor:"1,keyasint,omitempty"`
	// Wait is how long the answer may wait for the first of them.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
}

// SettleReply tells whether the entry is in the log.
type SettleReply struct {
	Stored bool `cbor:"1,keyasint,omitempty"`
}

// names of the methods.
const (
	serviceName     = "Peer"
	methodExchange  = serviceName + ".Exchange"
	methodWant      = serviceName + ".Want"
	methodHistories = serviceName + ".Histories"
	methodRecords   = serviceName + ".Records"
	methodClaimed   = serviceName + ".Claimed"
	methodClaim     = serviceName + ".Claim"
	methodSettle    = serviceName + ".Settle"
	maxRecordsBytes = 4 << 20
)

// service is the net/rpc side of a Handler.
type service struct{ handler Handler }

// Exchange answers Peer.Exchange.
func (s *service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	reply.Digests = s.handler.Exchange(args.Digests)
	return nil
}

// Want answers Peer.Want.
func (s *service) Want(args *WantArgs, _ *WantReply) error {
	s.handler.Want(args.From, args.Demand)
	return nil
}

// Histories answers Peer.Histories.
func (s *service) Histories(args *HistoriesArgs, _ *WantReply) error {
	s.handler.Histories(args.Histories)
	return nil
}

// Records answers Peer.Records. It cuts the records where the message would get
// too long; the caller asks on from there.
func (s *service) Records(args *RecordsArgs, reply *Records) error {
	records, err := s.handler.Records(args.From, args.Wait)
	if err != nil {
		return err
	}
	if total(records.Snapshot) > MaxMessageBytes-maxRecordsBytes {
		return Error.New("snapshot too large for one message")
	}
	records.Records = cut(records.Records)
	*reply = records
	return nil
}

// Claimed answers Peer.Claimed.
func (s *service) Claimed(args *ClaimQuery, reply *ClaimReply) error {
	*reply = s.handler.Claimed(*args)
	return nil
}

// Claim answers Peer.Claim.
func (s *service) Claim(args *ClaimCall, reply *ClaimResult) error {
	*reply = s.handler.Claim(*args)
	return nil
}

// Settle answers Peer.Settle.
func (s *service) Settle(args *ClaimCall, reply *SettleReply) error {
	reply.Stored = s.handler.Settle(*args)
	return nil
}

// total is the length of all parts, in bytes.
func total(parts [][]byte) int {
	sum := 0
	for _, part := range parts {
		sum += len(part)
	}
	return sum
}

// cut returns the first records that together stay below maxRecordsBytes, at
// least one.
func cut(records []Record) []Record {
	bytes := 0
	for i, record := range records {
		bytes += len(record.Data)
		if bytes > maxRecordsBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}
