package streamversions

import (
	"slices"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/routing/streamversion"
)

// modelOfService is the model of a service's streams, empty for a plain service's.
type modelOfService struct{ service, model string }

// views are what one VM knows of the software versions of a service, and of the versions of a model's weights.
type views struct{ software, weights streamversion.View }

// views returns what this VM knows.
func (s *Finder) views(now time.Time, of modelOfService) views {
	v := views{software: s.config.Fleet.VersionsView(now, of.service)}
	if of.model != "" {
		v.weights = s.config.Fleet.VersionsView(now, streamversion.ModelScope(of.service, of.model))
	}
	return v
}

// asOf returns the views as if the list of backend servers was confirmed then.
func (v views) asOf(at time.Time) views {
	v.software.To, v.weights.To = at, at
	return v
}

// viewsOf returns what a reply tells of the versions, in times of this VM's clock.
func viewsOf(askedAt, receivedAt time.Time, reply *entryvm.FindStreamReply) views {
	to := askedAt.Add(-reply.ListAge)
	if reply.Confirmed {
		to = askedAt
	}
	return views{
		software: streamversion.View{Versions: reply.Versions, From: receivedAt.Add(-reply.KnownFor), To: to},
		weights:  streamversion.View{Versions: reply.WeightVersions, From: receivedAt.Add(-reply.WeightsKnownFor), To: to},
	}
}

// knowledge is what several VMs know of the versions at which a stream may have begun.
type knowledge struct {
	versions, weights []string
	// complete is whether these are all.
	complete bool
}

// isAmbiguous reports whether the stream may have begun at several versions.
func (k *knowledge) isAmbiguous() bool { return len(k.versions) > 1 || len(k.weights) > 1 }

// mergeViews returns what the views tell of a stream that its caller took up at a time.
func mergeViews(at time.Time, of modelOfService, all ...views) knowledge {
	var software, weights []streamversion.View
	for _, v := range all {
		software, weights = append(software, v.software), append(weights, v.weights)
	}
	var k knowledge
	k.versions, k.complete = streamversion.Merge(at, software...)
	if of.model == "" {
		return k
	}
	known, complete := streamversion.Merge(at, weights...)
	k.weights, k.complete = known, k.complete && complete
	return k
}

func mergeVersions(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}
