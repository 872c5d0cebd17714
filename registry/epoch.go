package registry

// A registry may come back from a copy that is some seconds old: what it has acknowledged
// since is gone, and its positions and generations are given out again. Each time begins a
// new epoch, and cursors and generations carry theirs in their high bits. So they grow over
// it, and none is taken for one of another epoch.

// positionBits are the bits of a position within its epoch. Together with the epochs that a
// registry lives through they stay below 2^53, so that JSON numbers hold them exactly.
const positionBits = 40

// InEpoch makes a cursor or a generation out of its epoch and its number within it.
func NewPosition(epoch, number uint64) uint64 { return epoch<<positionBits | number }

// Epoch is the epoch of a cursor or a generation.
func EpochOf(position uint64) uint64 { return position >> positionBits }

// NumberInEpoch is the number of a cursor or a generation within its epoch.
func NumberInEpoch(position uint64) uint64 { return position & (1<<positionBits - 1) }
