package entryvm

import "time"

// The types below are the arguments and replies of the net/rpc methods Peer.Exchange,
// Peer.Want, Peer.Histories, Peer.Records, Peer.Claimed, Peer.Claim and Peer.Settle. They are
// exported only because net/rpc requires it.

// ExchangeArgs carries the caller's digests.
type ExchangeArgs struct {
	Digests []Digest `cbor:"1,keyasint,omitempty"`
}

// ExchangeReply carries the callee's digests.
type ExchangeReply struct {
	Digests []Digest `cbor:"1,keyasint,omitempty"`
}

// WantArgs carries the demand of the calling VM.
type WantArgs struct {
	// From is the calling VM.
	From   string   `cbor:"1,keyasint,omitempty"`
	Demand []Demand `cbor:"2,keyasint,omitempty"`
}

// WantReply is the empty reply of Want and Histories.
type WantReply struct{}

// HistoriesArgs carries usage histories of units.
type HistoriesArgs struct {
	Histories []UnitHistory `cbor:"1,keyasint,omitempty"`
}

// RecordsArgs asks for control records.
type RecordsArgs struct {
	// From is the first requested offset.
	From uint64 `cbor:"1,keyasint,omitempty"`
	// Wait is how long the callee may wait for the first record.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
}

// SettleReply reports whether the entry is in the log.
type SettleReply struct {
	Stored bool `cbor:"1,keyasint,omitempty"`
}

// Names of the net/rpc methods.
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

// service is the net/rpc receiver that calls a Handler.
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

// Records answers Peer.Records. It truncates the records to maxRecordsBytes; the caller
// requests the following ones in another call.
func (s *service) Records(args *RecordsArgs, reply *Records) error {
	records, err := s.handler.Records(args.From, args.Wait)
	if err != nil {
		return err
	}
	if totalBytes(records.Snapshot) > MaxMessageBytes-maxRecordsBytes {
		return Error.New("snapshot too large for one message")
	}
	records.Records = truncateRecords(records.Records)
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

// totalBytes returns the total length of all parts in bytes.
func totalBytes(parts [][]byte) int {
	sum := 0
	for _, part := range parts {
		sum += len(part)
	}
	return sum
}

// truncateRecords returns the longest prefix of records that stays within maxRecordsBytes,
// and at least one record.
func truncateRecords(records []Record) []Record {
	bytes := 0
	for i, record := range records {
		bytes += len(record.Data)
		if bytes > maxRecordsBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}
