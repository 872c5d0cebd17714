package serving_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"bergamotreel/contract"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

// Guards against a stream that goes on at another software version than the one that sent its first
// event, after it broke or its backend server fell silent. Before its first event it may go
// anywhere.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	brokenOff := func(context.Context) *service.ForwardResponse { return cutOffAnswer(event(1)) }
	brokenBeforeEvent := func(context.Context) *service.ForwardResponse {
		return &service.ForwardResponse{Status: 200, Length: service.LengthChunked, Body: io.NopCloser(iotest.ErrReader(io.ErrUnexpectedEOF))}
	}
	for name, test := range map[string]struct {
		first    func(context.Context) *service.ForwardResponse
		versions map[string]string
		// continued is whether a second attempt is made, anywhere whether at any version.
		continued, anywhere bool
	}{
		"broken, one of its version":          {brokenOff, map[string]string{"one": "v1", "two": "v2", "three": "v1", "four": "v2"}, true, false},
		"broken, none of its version":         {brokenOff, map[string]string{"one": "v1", "two": "v2", "three": "v3", "four": "v4"}, true, false},
		"silent, one of its version":          {silentAnswer, map[string]string{"one": "v1", "two": "v2", "three": "v1", "four": "v2"}, true, false},
		"silent, none of its version":         {silentAnswer, map[string]string{"one": "v1", "two": "v2", "three": "v3", "four": "v4"}, false, false},
		"broken before its first event":       {brokenBeforeEvent, map[string]string{"one": "v1", "two": "v2", "three": "v3", "four": "v4"}, true, true},
		"broken, versions are not known":      {brokenOff, nil, true, true},
		"broken, version with special letter": {brokenOff, map[string]string{"one": "v/1@%", "two": "v2", "three": "v/1@%", "four": "v2"}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardTestbed(t)
				b.backends, b.versions = []string{"one", "two", "three", "four"}, test.versions
				b.respond = func(ctx context.Context, number int, _ sentRequest) (*service.ForwardResponse, error) {
					if number == 1 {
						return test.first(ctx), nil
					}
					return completeAnswer(200, event(2)), nil
				}
				_ = b.forward(t.Context(), route(contract.RepeatResume), "m", &answerRecorder{})
				testkit.Equal(t, "continued", len(b.sent) > 1, test.continued)
				if len(b.sent) > 1 && !test.anywhere {
					testkit.Equal(t, "version", b.versions[b.sent[1].target], b.versions[b.sent[0].target])
				}
				b.stop()
			})
		})
	}
}

// Guards against a unit at a version that is taken for another unit.
func TestVersionedUnitNames(t *testing.T) {
	units := []string{"service/booking", "model/llm/m1", "model/llm/m1/a1", "model/llm/m@1"}
	for _, unit := range units {
		for _, version := range []string{"", "v1", "v/1@%", "@"} {
			name := serving.VersionedUnit(unit, version)
			gotUnit, gotVersion := serving.SplitVersion(name)
			testkit.That(t, gotUnit == unit && gotVersion == version, "%q: got %q at %q", name, gotUnit, gotVersion)
			testkit.That(t, version == "" || !slices.Contains(units, name), "%q is also a unit without a version", name)
		}
	}
	parsed, ok := serving.ParseModelUnit(serving.VersionedUnit("model/llm/m1/a1", "v1"))
	testkit.That(t, ok && parsed == serving.ModelUnit{Service: "llm", Model: "m1", Adapter: "a1", Version: "v1"}, "parsed %+v", parsed)
	testkit.Equal(t, "name", parsed.String(), serving.VersionedUnit("model/llm/m1/a1", "v1"))
}
