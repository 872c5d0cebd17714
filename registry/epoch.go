package registry

// A registry may be restored from a copy that is some seconds old. Writes that it acknowledged
// after the copy are then lost, and it issues their positions and generations a second time.
// Therefore each restore begins a new epoch, which cursors and generations carry in their high
// bits: they increase across restores, and those of different epochs never compare equal.

// positionBits is the width of a position within its epoch. Positions stay below 2^53 for all
// the epochs that a registry goes through, so that JSON numbers represent them exactly.
const positionBits = 40

// NewPosition returns the cursor or generation with the given number in the epoch.
func NewPosition(epoch, number uint64) uint64 { return epoch<<positionBits | number }

// EpochOf returns the epoch of a cursor or generation.
func EpochOf(position uint64) uint64 { return position >> positionBits }

// NumberInEpoch returns the number of a cursor or generation within its epoch.
func NumberInEpoch(position uint64) uint64 { return position & (1<<positionBits - 1) }
