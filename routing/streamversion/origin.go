package streamversion

import (
	"strconv"
	"strings"
)

// Origin is what began a stream and has to write the rest of it.
type Origin struct {
	// Version is the software version of the backend server, empty for any.
	Version string
	// Weights is the version of the model's weights, 0 if unknown.
	Weights int64
}

// modelScopePrefix begins the names of ModelScope. Names of services have no slash.
const modelScopePrefix = "weights/"

// ModelScope returns the name under which a History counts the versions of a model's weights, beside the names of
// services under which it counts software versions.
func ModelScope(service, model string) string { return modelScopePrefix + service + "/" + model }

func isModelScope(scope string) bool { return strings.HasPrefix(scope, modelScopePrefix) }

// FormatWeights returns the name of a version of weights in a History.
func FormatWeights(weights int64) string { return strconv.FormatInt(weights, 10) }

// ParseWeights parses the result of FormatWeights, and returns 0 for anything else.
func ParseWeights(name string) int64 {
	weights, err := strconv.ParseInt(name, 10, 64)
	if err != nil {
		return 0
	}
	return weights
}
