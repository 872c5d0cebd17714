package hosted

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/refusal"
)

// comeBackUnsure is when to come back to an entry VM that can't tell whether a key is
// in force; the balancer leads to another one meanwhile.
const comeBackUnsure = 500 * time.Millisecond

// unsureTimes the bound on a configuration is the age from which a key that no workspace
// has may be a new one. While the registry answers, the age stays below it.
const unsureTimes = 2

var (
	unknownKeysTotal = metrics.NewCounter(`bergamotreel_workspace_refused_total{reason="unknown_key"}`)
	unsureKeysTotal  = metrics.NewCounter(`bergamotreel_workspace_refused_total{reason="unsure"}`)
)

// Authorize implements caller.RelayBackend.
func (n *Node) Authorize(host, path, key string) (caller.Grant, error) {
	current := n.active.Load()
	if current == nil || !n.backends.hasList() {
		return caller.Grant{}, refusal.New(refusal.CodeNotReady, unreadyRetryAfter, "%v", n.Ready())
	}
	route := current.routes.Find(host, path)
	if route == nil {
		return caller.Grant{}, refusal.New(refusal.CodeNotFound, 0, "no route in configuration %d", current.Version)
	}
	grant := caller.Grant{Customer: current.Contract.Customer, Route: route}
	if current.workspaces == nil || route.Public {
		return grant, nil
	}
	age := n.configurations.age(n.config.BootClock())
	grant.Workspace = current.workspaces.OfKey(key)
	if refused := judgeKey(grant.Workspace, age, n.config.MaxApplyDelay, n.config.MaxConfigurationAge); refused != nil {
		return caller.Grant{}, refused
	}
	return grant, nil
}

// judgeKey refuses a request whose key is in no workspace of a configuration that was
// the newest one age ago, or that may have been taken away since. A key that may be
// newer than the configuration is not called unknown: a caller would not come back.
func judgeKey(workspace *contract.Workspace, age, applyWithin, refuseUnsureAfter time.Duration) *refusal.Refusal {
	switch {
	case workspace == nil && age <= unsureTimes*applyWithin:
		unknownKeysTotal.Inc()
		return refusal.New(refusal.CodeUnknownKey, 0, "no workspace has this API key")
	case workspace == nil:
		unsureKeysTotal.Inc()
		return refusal.New(refusal.CodeNotReady, comeBackUnsure, "no workspace had this API key %s ago", age.Round(time.Millisecond))
	case refuseUnsureAfter > 0 && age > refuseUnsureAfter:
		unsureKeysTotal.Inc()
		return refusal.New(refusal.CodeNotReady, comeBackUnsure, "the API key was known %s ago", age.Round(time.Millisecond))
	default:
		return nil
	}
}
