package hosted

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/refusal"
)

// unsureRetryAfter is the retry delay sent when this VM can't tell whether a key is valid;
// meanwhile the load balancer sends callers to another VM.
const unsureRetryAfter = 500 * time.Millisecond

// Once the configuration is older than unsureAgeFactor*MaxApplyDelay, a route that it lacks or a
// key in no workspace may have been added since, so it is refused as retryable. While the registry
// answers, the configuration is never that old.
const unsureAgeFactor = 2

var (
	unknownKeysTotal = metrics.NewCounter(`bergamotreel_workspace_refused_total{reason="unknown_key"}`)
	unsureKeysTotal  = metrics.NewCounter(`bergamotreel_workspace_refused_total{reason="unsure"}`)
	// unsureRoutesTotal counts the requests on routes that may have been added since.
	unsureRoutesTotal = metrics.NewCounter(`bergamotreel_unsure_routes_total`)
)

// Authorize implements caller.RelayBackend: it finds the route of a request and checks its
// API key.
func (n *Node) Authorize(host, path, key string) (caller.Grant, error) {
	current := n.active.Load()
	if current == nil || !n.backends.hasList() {
		return caller.Grant{}, refusal.New(refusal.CodeNotReady, unreadyRetryAfter, "%v", n.Ready())
	}
	age := n.configurationFeed.Age(n.config.BootClock())
	route := current.routes.Find(host, path)
	switch {
	case route == nil && age > unsureAgeFactor*n.config.MaxApplyDelay:
		unsureRoutesTotal.Inc()
		return caller.Grant{}, refusal.New(refusal.CodeNotReady, unsureRetryAfter, "no such route in configuration %d, the newest %s ago", current.Version, age.Round(time.Millisecond))
	case route == nil:
		return caller.Grant{}, refusal.New(refusal.CodeNotFound, 0, "no route in configuration %d", current.Version)
	}
	grant := caller.Grant{Customer: current.Contract.Customer, Route: route}
	if current.workspaces == nil || route.Public {
		return grant, nil
	}
	grant.Workspace = current.workspaces.FindByKey(key)
	if refusedKey := checkKey(grant.Workspace, age, n.config.MaxApplyDelay, n.config.MaxConfigurationAge); refusedKey != nil {
		return caller.Grant{}, refusedKey
	}
	return grant, nil
}

// checkKey refuses a request whose key is in no workspace of the configuration, and one whose
// key may have been revoked since. The configuration was last known to be the newest one age
// ago. A key that may be newer than the configuration is not refused as unknown, because the
// caller would not retry.
func checkKey(workspace *contract.Workspace, age, maxApplyDelay, maxConfigurationAge time.Duration) *refusal.Refusal {
	switch {
	case workspace == nil && age <= unsureAgeFactor*maxApplyDelay:
		unknownKeysTotal.Inc()
		return refusal.New(refusal.CodeUnknownKey, 0, "no workspace has this API key")
	case workspace == nil:
		unsureKeysTotal.Inc()
		return refusal.New(refusal.CodeNotReady, unsureRetryAfter, "no workspace had this API key %s ago", age.Round(time.Millisecond))
	case maxConfigurationAge > 0 && age > maxConfigurationAge:
		unsureKeysTotal.Inc()
		return refusal.New(refusal.CodeNotReady, unsureRetryAfter, "the API key was known %s ago", age.Round(time.Millisecond))
	default:
		return nil
	}
}
