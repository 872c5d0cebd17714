package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
)

// QuotaUnit is the unit in which a workspace's quota is counted.
type QuotaUnit string

const (
	// CountRequests counts each request as 1.
	CountRequests QuotaUnit = "requests"
	// CountTokens counts a request's prompt tokens plus the maximum number of tokens it
	// may generate.
	CountTokens QuotaUnit = "tokens"
)

// Bounds on a workspace's quota. MaxQuotaRate is far above the tokens per second of the
// largest deployment.
const (
	MaxQuotaRate  = 1e12
	MaxQuotaBurst = 1e12
)

// Quota limits a workspace's use, summed over all entry VMs.
type Quota struct {
	Unit QuotaUnit
	// PerSecond is the sustained rate in units per second, 0 for no limit.
	PerSecond float64
	// Burst is the number of units that may be used at once after an idle period.
	Burst float64
	// Plain is the cost of a request that states no tokens, for CountTokens.
	Plain float64
}

// IsLimited reports whether the quota sets a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Cost returns the units that a request with the given number of tokens uses. counted
// is false if the request states no tokens.
func (q Quota) Cost(tokens int64, counted bool) float64 {
	switch {
	case q.Unit != CountTokens:
		return 1
	case counted:
		return float64(max(tokens, 0))
	default:
		return q.Plain
	}
}

// Workspace is a part of a customer with its own API keys and quota.
type Workspace struct {
	Name string
	// Keys are the hashes of the workspace's API keys.
	Keys []KeyHash
	// Priority replaces the priority of the route for the workspace's waiting requests
	// if HasPriority is set; the highest goes first.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// KeyHash is the SHA-256 of an API key.
type KeyHash [sha256.Size]byte

// NewKeyHash returns the hash of an API key.
func NewKeyHash(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in lower-case hexadecimal, as in logs and contracts.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Workspaces indexes workspaces by API key and by name. It is immutable and safe for
// concurrent use.
type Workspaces struct {
	byKey  map[KeyHash]*Workspace
	byName map[string]*Workspace
}

// NewWorkspaces validates and indexes a contract's workspaces. Its error wraps a
// *Problem.
func NewWorkspaces(list []Workspace) (*Workspaces, error) {
	w := &Workspaces{byKey: make(map[KeyHash]*Workspace), byName: make(map[string]*Workspace, len(list))}
	for i := range list {
		if err := w.add(&list[i]); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return w, nil
}

func (w *Workspaces) add(workspace *Workspace) error {
	section := SectionName("workspace", workspace.Name)
	if !isValidWorkspaceName(workspace.Name) {
		return newProblem(section, "name", "%.80q: want 1 to %d printable ASCII characters", workspace.Name, MaxNameLength)
	}
	if w.byName[workspace.Name] != nil {
		return newProblem(section, "name", "stands twice")
	}
	if err := workspace.Quota.check(section); err != nil {
		return err
	}
	w.byName[workspace.Name] = workspace
	for _, key := range workspace.Keys {
		if other := w.byKey[key]; other != nil && other != workspace {
			return newProblem(section, "keys", "a key of workspace %q, too", other.Name)
		}
		w.byKey[key] = workspace
	}
	return nil
}

// isValidWorkspaceName reports whether a name is valid as the value of an HTTP header:
// backend servers receive the name in one.
func isValidWorkspaceName(name string) bool {
	if name == "" || len(name) > MaxNameLength || name[0] == ' ' || name[len(name)-1] == ' ' {
		return false
	}
	for _, c := range []byte(name) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

func (q Quota) check(section string) error {
	checkRange := func(key string, value, maxValue float64) error {
		if math.IsNaN(value) || value < 0 || value > maxValue {
			return newProblem(section, key, "%v: want 0 to %g", value, maxValue)
		}
		return nil
	}
	if q.Unit != CountRequests && q.Unit != CountTokens {
		return newProblem(section, "unit", "%.80q: want %s or %s", string(q.Unit), CountRequests, CountTokens)
	}
	for _, err := range []error{
		checkRange("rate", q.PerSecond, MaxQuotaRate), checkRange("burst", q.Burst, MaxQuotaBurst), checkRange("plain", q.Plain, MaxQuotaBurst),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// FindByKey returns the workspace that holds the API key, or nil if there is none. It
// looks up the hash of the key, so its timing reveals nothing about keys that are
// almost right.
func (w *Workspaces) FindByKey(key string) *Workspace {
	if w == nil || key == "" {
		return nil
	}
	return w.byKey[NewKeyHash(key)]
}

// FindByName returns the workspace with the given name, or nil if there is none.
func (w *Workspaces) FindByName(name string) *Workspace {
	if w == nil {
		return nil
	}
	return w.byName[name]
}

// String implements fmt.Stringer. It omits the keys.
func (w Workspace) String() string {
	return fmt.Sprintf("%s (%d keys, %g %s/s, burst %g)", w.Name, len(w.Keys), w.Quota.PerSecond, w.Quota.Unit, w.Quota.Burst)
}
