package serving

import (
	"net/url"
	"strings"
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

// versionSeparator separates the kind of a unit, before its first slash, from a software version.
const versionSeparator = "@"

// VersionedUnit returns the name of the unit at a software version: only backend servers of that
// version can serve it. An empty version stands for any.
func VersionedUnit(unit, version string) string {
	if version == "" {
		return unit
	}
	kind, rest, _ := strings.Cut(unit, "/")
	return kind + versionSeparator + url.PathEscape(version) + "/" + rest
}

// SplitVersion parses the result of VersionedUnit.
func SplitVersion(name string) (unit, version string) {
	kind, rest, _ := strings.Cut(name, "/")
	kind, escaped, versioned := strings.Cut(kind, versionSeparator)
	if !versioned {
		return name, ""
	}
	version, err := url.PathUnescape(escaped)
	if err != nil {
		return name, ""
	}
	return kind + "/" + rest, version
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
