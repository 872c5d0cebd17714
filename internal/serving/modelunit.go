package serving

import "strings"

// modelUnitPrefix marks the units of engine pools. A plain service's pool begins
// with servicePoolPrefix, so the two never collide.
const modelUnitPrefix = "model/"

// ModelUnit identifies a model, or an adapter on it, that a service's engines can hold.
type ModelUnit struct {
	Service, Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// String returns the unit's name in admission and routing.
func (u ModelUnit) String() string {
	if u.Adapter == "" {
		return u.Pool()
	}
	return u.Pool() + "/" + u.Adapter
}

// Pool returns the name of the unit's pool: a model and its adapters share engines.
func (u ModelUnit) Pool() string { return modelUnitPrefix + u.Service + "/" + u.Model }

// ParseModelUnit parses the result of String. It returns false for any other name,
// such as the pool of a plain service.
func ParseModelUnit(name string) (ModelUnit, bool) {
	rest, ok := strings.CutPrefix(name, modelUnitPrefix)
	if !ok {
		return ModelUnit{}, false
	}
	service, rest, ok := strings.Cut(rest, "/")
	if !ok {
		return ModelUnit{}, false
	}
	model, adapter, _ := strings.Cut(rest, "/")
	return ModelUnit{Service: service, Model: model, Adapter: adapter}, true
}

// ServiceOfUnit returns the service of a unit or of a plain service's pool, and the unit's
// model, empty for a plain service.
func ServiceOfUnit(name string) (service, model string) {
	if unit, ok := ParseModelUnit(name); ok {
		return unit.Service, unit.Model
	}
	service, _ = parseServicePool(name)
	return service, ""
}
