package serving

import (
	"net/url"
	"strconv"
	"strings"

	"bergamotreel/routing/streamversion"
)

// modelUnitPrefix marks the units of engine pools. A plain service's pool begins
// with servicePoolPrefix, so the two never collide.
const modelUnitPrefix = "model/"

// ModelUnit identifies a model, or an adapter on it, that a service's engines can hold.
type ModelUnit struct {
	Service, Model string
	// Adapter is empty for the model itself.
	Adapter string
	// Version is the software version at which the unit is needed, empty for any.
	Version string
}

// String returns the unit's name in admission and routing.
func (u ModelUnit) String() string {
	name := u.Pool()
	if u.Adapter != "" {
		name += "/" + u.Adapter
	}
	return VersionedUnit(name, u.Version)
}

// Pool returns the name of the unit's pool: a model and its adapters share engines, of all software
// versions.
func (u ModelUnit) Pool() string { return modelUnitPrefix + u.Service + "/" + u.Model }

// weightsSeparator separates a software version from a version of the model's weights. It is escaped within both.
const weightsSeparator = ","

// versionSeparator separates the kind of a unit, before its first slash, from a software version.
const versionSeparator = "@"

// VersionedUnit returns the name of the unit at a software version: only backend servers of that
// version can serve it. An empty version stands for any.
func VersionedUnit(unit, version string) string {
	return BoundUnit(unit, streamversion.Origin{Version: version})
}

// BoundUnit returns the name of the unit for streams that go on where they began: only backend servers of the origin
// can serve it.
func BoundUnit(unit string, origin streamversion.Origin) string {
	if origin == (streamversion.Origin{}) {
		return unit
	}
	kind, rest, _ := strings.Cut(unit, "/")
	name := kind + versionSeparator + url.PathEscape(origin.Version)
	if origin.Weights != 0 {
		name += weightsSeparator + strconv.FormatInt(origin.Weights, 10)
	}
	return name + "/" + rest
}

// SplitVersion returns the unit and the software version of a result of VersionedUnit or BoundUnit.
func SplitVersion(name string) (unit, version string) {
	unit, origin := SplitOrigin(name)
	return unit, origin.Version
}

// SplitOrigin parses the result of BoundUnit.
func SplitOrigin(name string) (unit string, origin streamversion.Origin) {
	kind, rest, _ := strings.Cut(name, "/")
	kind, bound, isBound := strings.Cut(kind, versionSeparator)
	if !isBound {
		return name, origin
	}
	escaped, weights, hasWeights := strings.Cut(bound, weightsSeparator)
	version, err := url.PathUnescape(escaped)
	if err != nil {
		return name, origin
	}
	origin.Version = version
	if hasWeights {
		if origin.Weights, err = strconv.ParseInt(weights, 10, 64); err != nil {
			return name, streamversion.Origin{}
		}
	}
	return kind + "/" + rest, origin
}

// ParseModelUnit parses the result of String. It returns false for any other name, such as the
// pool of a plain service.
func ParseModelUnit(name string) (ModelUnit, bool) {
	name, version := SplitVersion(name)
	rest, ok := strings.CutPrefix(name, modelUnitPrefix)
	if !ok {
		return ModelUnit{}, false
	}
	service, rest, ok := strings.Cut(rest, "/")
	if !ok {
		return ModelUnit{}, false
	}
	model, adapter, _ := strings.Cut(rest, "/")
	return ModelUnit{Service: service, Model: model, Adapter: adapter, Version: version}, true
}

// ServiceOfUnit returns the service of a unit or of a plain service's pool, and the unit's
// model, empty for a plain service.
func ServiceOfUnit(name string) (service, model string) {
	if unit, ok := ParseModelUnit(name); ok {
		return unit.Service, unit.Model
	}
	name, _ = SplitVersion(name)
	service, _ = parseServicePool(name)
	return service, ""
}
