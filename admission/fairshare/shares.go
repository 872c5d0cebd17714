package fairshare

import (
	"math"
	"slices"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/meter"
)

const (
	// MaxAge is the age of the last SetFleet from which no workspace counts as beyond its share. It
	// is the time after which a VM's report through relays expires.
	MaxAge = 6 * time.Second
	// minWeight bounds weights from below. A quota that is far smaller than the others' still gets a
	// hundredth of the mean, or one request would advance its workspace's turn by hours.
	minWeight = 0.01
	// shareMargin prevents rounding from marking a workspace that is alone.
	shareMargin = 1.001
	// chanceDeviations is by how many standard deviations of random arrivals a workspace must exceed
	// its share before it counts as beyond it. With three, equal workspaces are rarely marked.
	chanceDeviations = 3
	// chanceVariance is the variance of the smoothed number of busy slots in relation to its mean.
	// For Poisson arrivals it is s/(s+Window) for requests that take s, thus two thirds for requests
	// of two seconds, and less for shorter ones.
	chanceVariance = 0.67
	// peakFraction is the part of the highest usage by weight above which a workspace counts as one
	// of those that fill the service. It spares workspaces that are slightly above their share next
	// to a burst.
	peakFraction = 0.5
	// keptFraction is the part of the margin and of the peak above which a workspace that is beyond
	// its share remains so. Without the difference, a workspace at the limit would change its state
	// with each report.
	keptFraction = 0.5
	// surgeFactor is by how many times the usage through this VM must exceed that of the last
	// surgeWindow for a surge. Surges are limited to surgeTTL, after which all VMs know the usage: a
	// workspace whose requests have moved here from other VMs surges, too.
	surgeFactor = 3
	surgeWindow = 10 * time.Second
	surgeTTL    = 2500 * time.Millisecond
)

// Weights returns the weight of each workspace: its quota's rate in relation to the mean rate of
// the workspaces whose quotas have the same unit. A workspace without a quota weighs 1, as much as
// the mean of the others.
func Weights(workspaces []contract.Workspace) map[string]float64 {
	type sum struct {
		rate  float64
		count int
	}
	sums := make(map[contract.QuotaUnit]sum)
	for i := range workspaces {
		if q := workspaces[i].Quota; hasWeight(q) {
			s := sums[q.Unit]
			sums[q.Unit] = sum{s.rate + q.PerSecond, s.count + 1}
		}
	}
	weights := make(map[string]float64, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		weights[w.Name] = 1
		if hasWeight(w.Quota) {
			s := sums[w.Quota.Unit]
			weights[w.Name] = max(w.Quota.PerSecond/(s.rate/float64(s.count)), minWeight)
		}
	}
	return weights
}

func hasWeight(q contract.Quota) bool { return q.PerSecond > 0 && q.PerSecond <= contract.MaxQuotaRate }

// Shares decides which workspaces are beyond their fair share, by what they use over all VMs.
type Shares struct {
	weights map[string]float64
	over    map[Key]bool
	setAt   time.Time
	// own holds the state of the workspaces that use this VM.
	own map[Key]*ownUsage
}

// ownUsage is what a workspace uses through this VM.
type ownUsage struct {
	baseline   float64 // in slots, smoothed over surgeWindow
	updatedAt  time.Time
	surgeStart time.Time // zero without a surge
}

// NewShares returns a Shares that knows of no usage and no weights.
func NewShares() *Shares { return &Shares{over: make(map[Key]bool), own: make(map[Key]*ownUsage)} }

// SetWeights sets the weights of all workspaces, see Weights.
func (s *Shares) SetWeights(weights map[string]float64) { s.weights = weights }

// Weight returns a workspace's weight. An unknown workspace, and the requests without one, weigh as
// much as the mean workspace.
func (s *Shares) Weight(workspace string) float64 {
	if w := s.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// Knows reports whether requests of the workspace may still arrive: it is in the configuration, or
// it stands for requests without an API key.
func (s *Shares) Knows(workspace string) bool {
	_, ok := s.weights[workspace]
	return ok || workspace == ""
}

// IsOver reports whether a workspace is beyond its share over all VMs as of a recent SetFleet, or
// began to surge on this VM within surgeTTL.
func (s *Shares) IsOver(now time.Time, key Key) bool {
	if s.over[key] && now.Sub(s.setAt) <= MaxAge {
		return true
	}
	own := s.own[key]
	return own != nil && !own.surgeStart.IsZero() && now.Sub(own.surgeStart) <= surgeTTL
}

// SetOwn sets the usage through this VM and finds surges: workspaces beyond their share of what this
// VM's requests use, by a multiple of their usage before. A surge shows a burst that the other VMs'
// reports don't show yet. The share of this VM's requests alone would mislead, as a workspace may
// reach the fleet through one VM.
func (s *Shares) SetOwn(now time.Time, usage []Usage) {
	totals, own := s.sum(usage), make(map[Key]*ownUsage, len(usage))
	for _, u := range usage {
		used, weight, t := usedSlots(u), s.Weight(u.Workspace), totals[u.Service]
		o := s.own[u.Key]
		if o == nil {
			o = &ownUsage{updatedAt: now}
		}
		isSurge := t.isExceeded(used, t.used*weight/t.weight, weight, false) && used > surgeFactor*o.baseline
		if !isSurge {
			o.surgeStart = time.Time{}
		} else if o.surgeStart.IsZero() {
			o.surgeStart = now
		}
		o.baseline = meter.Smooth(o.baseline, used, now.Sub(o.updatedAt), surgeWindow)
		o.updatedAt = now
		own[u.Key] = o
	}
	s.own = own
}

// Count returns how many workspaces are beyond their share, counted for each service.
func (s *Shares) Count(now time.Time) int {
	if now.Sub(s.setAt) > MaxAge {
		return 0
	}
	return len(s.over)
}

// Change is a workspace that came to be beyond its share, or is no longer. Used and Share are in
// slots over all VMs; both are 0 if the workspace uses nothing any more.
type Change struct {
	Key
	Over        bool
	Used, Share float64
}

// SetFleet sets the usage over all VMs and returns what changed, sorted by key.
func (s *Shares) SetFleet(now time.Time, usage []Usage) []Change {
	s.setAt = now
	totals := s.sum(usage)
	over := make(map[Key]bool)
	var changes []Change
	for _, u := range usage {
		t := totals[u.Service]
		weight, used := s.Weight(u.Workspace), usedSlots(u)
		fair := t.used * weight / t.weight
		if t.isExceeded(used, fair, weight, s.over[u.Key]) {
			over[u.Key] = true
		}
		if over[u.Key] != s.over[u.Key] {
			changes = append(changes, Change{Key: u.Key, Over: over[u.Key], Used: used, Share: fair})
		}
		delete(s.over, u.Key)
	}
	for key := range s.over {
		changes = append(changes, Change{Key: key})
	}
	s.over = over
	slices.SortFunc(changes, func(a, b Change) int { return compareKeys(a.Key, b.Key) })
	return changes
}

// total is the usage of a service by all workspaces, in slots.
type total struct {
	used, weight float64
	// peak is the highest usage of a workspace divided by its weight.
	peak float64
}

func (s *Shares) sum(usage []Usage) map[string]total {
	totals := make(map[string]total)
	for _, u := range usage {
		t := totals[u.Service]
		weight, used := s.Weight(u.Workspace), usedSlots(u)
		totals[u.Service] = total{used: t.used + used, weight: t.weight + weight, peak: max(t.peak, used/weight)}
	}
	return totals
}

// isExceeded reports whether a usage is beyond the fair share of a workspace with the given weight.
// wasOver is whether the workspace has been beyond it.
func (t total) isExceeded(used, fair, weight float64, wasOver bool) bool {
	margin, peak := chanceDeviations*math.Sqrt(chanceVariance*fair), peakFraction*t.peak*weight
	if wasOver {
		margin, peak = keptFraction*margin, keptFraction*peak
	}
	return used > shareMargin*fair+margin && used > peak
}

func usedSlots(u Usage) float64 { return float64(max(u.Used, 0)) / milli }
