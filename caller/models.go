package caller

import (
	"bergamotreel/refusal"
)

// modelObject is OpenAI's form of a model. Created is always 0: contracts do
// not keep it.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func newModelObject(id, customer string) modelObject {
	return modelObject{ID: id, Object: "model", OwnedBy: customer}
}

func (h *Handler) listModels(x *exchange) error {
	inForce, err := h.identify(x)
	if err != nil {
		return err
	}
	units := inForce.Units()
	list := modelList{Object: "list", Data: make([]modelObject, 0, len(units))}
	for i := range units {
		list.Data = append(list.Data, newModelObject(units[i].Name, inForce.Customer))
	}
	return h.sendJSON(x, list)
}

func (h *Handler) oneModel(x *exchange) error {
	inForce, err := h.identify(x)
	if err != nil {
		return err
	}
	id := x.r.PathValue("id")
	if _, ok := inForce.FindUnit(id); !ok {
		return x.unlessNotReady(noModel(id))
	}
	return h.sendJSON(x, newModelObject(id, inForce.Customer))
}

// noModel is the same for a model that does not exist and for one of another
// customer, so that nobody can find out what others have.
func noModel(name string) *refusal.Refusal {
	return refusal.New(refusal.CodeNotFound, 0, "no model %.80q", name)
}
