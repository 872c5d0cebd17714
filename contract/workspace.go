package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
)

// QuotaUnit is what a workspace's quota counts.
type QuotaUnit string

const (
	// CountRequests counts each request as 1.
	CountRequests QuotaUnit = "requests"
	// CountTokens counts a request's prompt tokens and the most it may generate.
	CountTokens QuotaUnit = "tokens"
)

// Bounds of a workspace's quota. MaxQuotaRate is far above the tokens a second of
// the largest deployment.
const (
	MaxQuotaRate  = 1e12
	MaxQuotaBurst = 1e12
)

// Quota limits a workspace over all entry VMs together.
type Quota struct {
	Unit QuotaUnit
	// PerSecond is the steady rate in units a second, 0 for no limit.
	PerSecond float64
	// Burst is how many units may be used at once after a pause.
	Burst float64
	// Plain is what a request that names no tokens counts, for CountTokens.
	Plain float64
}

// Limited tells whether the quota limits anything.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Cost is what a request that names so many tokens counts; counted is false where it
// names none.
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

// Workspace is a part of the customer with API keys and a quota of its own.
type Workspace struct {
	Name string
	// Keys are its API keys as hashes; see KeyHash.
	Keys []KeyHash
	// Priority orders its waiting requests in place of their route's where
	// HasPriority; higher goes first.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// KeyHash is the SHA-256 of an API key.
type KeyHash [sha256.Size]byte

// NewKeyHash hashes an API key.
func NewKeyHash(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String is the lower-case hex form that logs and contracts show.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Workspaces finds the workspace of an API key. It is immutable and safe for
// concurrent use.
type Workspaces struct {
	byKey  map[KeyHash]*Workspace
	byName map[string]*Workspace
}

// NewWorkspaces checks and indexes the contract's workspaces. The error is a *Problem.
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
	if !validWorkspaceName(workspace.Name) {
		return problem(section, "name", "%.80q: want 1 to %d printable ASCII characters", workspace.Name, MaxNameLength)
	}
	if w.byName[workspace.Name] != nil {
		return problem(section, "name", "stands twice")
	}
	if err := workspace.Quota.check(section); err != nil {
		return err
	}
	w.byName[workspace.Name] = workspace
	for _, key := range workspace.Keys {
		if other := w.byKey[key]; other != nil && other != workspace {
			return problem(section, "keys", "a key of workspace %q, too", other.Name)
		}
		w.byKey[key] = workspace
	}
	return nil
}

// validWorkspaceName holds for names that can stand in a header: backend servers get
// the name in one.
func validWorkspaceName(name string) bool {
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
	within := func(key string, value, most float64) error {
		if math.IsNaN(value) || value < 0 || value > most {
			return problem(section, key, "%v: want 0 to %g", value, most)
		}
		return nil
	}
	if q.Unit != CountRequests && q.Unit != CountTokens {
		return problem(section, "unit", "%.80q: want %s or %s", string(q.Unit), CountRequests, CountTokens)
	}
	for _, err := range []error{
		within("rate", q.PerSecond, MaxQuotaRate), within("burst", q.Burst, MaxQuotaBurst), within("plain", q.Plain, MaxQuotaBurst),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// OfKey finds the workspace that holds the API key, nil where none does. The look-up
// goes by the key's hash, so its time tells nothing of a key that is nearly right.
func (w *Workspaces) FindByKey(key string) *Workspace {
	if w == nil || key == "" {
		return nil
	}
	return w.byKey[NewKeyHash(key)]
}

// Find finds a workspace by its name, nil where there is none.
func (w *Workspaces) FindByName(name string) *Workspace {
	if w == nil {
		return nil
	}
	return w.byName[name]
}

// String implements fmt.Stringer without the keys.
func (w Workspace) String() string {
	return fmt.Sprintf("%s (%d keys, %g %s/s, burst %g)", w.Name, len(w.Keys), w.Quota.PerSecond, w.Quota.Unit, w.Quota.Burst)
}
