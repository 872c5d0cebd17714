package contract

import (
	"strings"
	"time"
)

// Repeat says what may be sent to a backend server a second time.
type RepeatPolicy string

const (
	// RepeatNever: at most one run for each request, whatever becomes of it.
	RepeatNever RepeatPolicy = "never"
	// RepeatSafe: any number of runs does the same as one.
	RepeatSafe RepeatPolicy = "safe"
	// RepeatResume: a broken stream may be continued elsewhere after the last
	// event that the caller has, and is safe to repeat before the first.
	RepeatResume RepeatPolicy = "resume"
)

// Target is a service that takes part of a route's requests.
type Target struct {
	Service string
	// Weight is its share against the sum of all weights, at least 1.
	Weight int
}

// Route sends the requests for one host and path prefix to services, unchanged.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Targets has at least one entry.
	Targets []Target
	Repeat  RepeatPolicy
	// Stream is whether answers are event streams.
	Stream bool
	// Timeout is the longest that a request may stay without its final answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, that
	// the operator aims at.
	TargetLatency time.Duration
	// Silence is how long a stream's caller bears to hear nothing, its first event
	// included; 0 for as long as Timeout.
	Silence time.Duration
	// Priority orders waiting requests; higher goes first.
	Priority int
	// Public routes need no API key.
	Public bool
	// MaxAttempts bounds the backend servers that one request may run on.
	MaxAttempts int
}

// Repeatable tells whether a request that may have run may be sent again.
func (r *Route) IsRepeatable() bool { return r.Repeat != RepeatNever }

// EnginePool describes the model engines behind a service.
type EnginePool struct {
	Service string
	// MemoryBytes is what an engine holds of weights and adapters.
	MemoryBytes int64
	// Slots is how many requests an engine runs at once.
	Slots int
	// AdapterPlaces bounds the adapters loaded on an engine.
	AdapterPlaces int
	// LoadsPerSecond bounds the loads from the weight store over all engines.
	LoadsPerSecond float64
	// Models are sorted by name.
	Models []PoolModel
}

// PoolModel is a model that the engines of a pool can load.
type PoolModel struct {
	Name        string
	MemoryBytes int64
	// FromStore, FromDisk and FromMemory are how long a load takes, by where the
	// engine finds the weights.
	FromStore, FromDisk, FromMemory time.Duration
	// Adapters is how many adapters it has, AdapterBytes the size of each.
	Adapters     int
	AdapterBytes int64
}

// Model finds a model of the pool by its name.
func (p *EnginePool) FindModel(name string) (*PoolModel, bool) {
	i := find(p.Models, name, func(m *PoolModel) string { return m.Name })
	if i < 0 {
		return nil, false
	}
	return &p.Models[i], true
}

// FindPool finds the engine pool of a service, nil for a plain service.
func (c *Contract) FindPool(service string) *EnginePool {
	for i := range c.Pools {
		if c.Pools[i].Service == service {
			return &c.Pools[i]
		}
	}
	return nil
}

// RouteTable finds the route of a request. It is immutable and safe for
// concurrent use.
type RouteTable struct {
	byHost map[string]map[string]*Route
}

// NewRouteTable indexes routes by host and prefix: a configuration may hold
// thousands, and each request looks one up. Of two routes with the same host and
// prefix the later one stands.
func NewRouteTable(routes []Route) *RouteTable {
	t := &RouteTable{byHost: make(map[string]map[string]*Route)}
	for i := range routes {
		route := &routes[i]
		host := normalHost(route.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = make(map[string]*Route)
		}
		t.byHost[host][route.PathPrefix] = route
	}
	return t
}

// Find returns the host's route with the longest prefix of path, nil if there is
// none. It looks at the path's own prefixes, of which there are few, and not at
// the host's routes.
func (t *RouteTable) Find(host, path string) *Route {
	prefixes := t.byHost[normalHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := prefixes[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// normalHost drops the port and the case, in which host names don't differ.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Target picks the service for a request by its draw from 0 up to 1, so that one
// request keeps its service over all attempts.
func (r *Route) PickTarget(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := draw * float64(total)
	for _, target := range r.Targets {
		left -= float64(target.Weight)
		if left < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
