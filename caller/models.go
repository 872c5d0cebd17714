package caller

import (
	"bergamotreel/refusal"
)

// modelObject is a model in the format of the OpenAI API. Created is always 0
// because contracts don't record it.
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
	activeContract, err := h.identify(x)
	if err != nil {
		return err
	}
	units := activeContract.Units()
	list := modelList{Object: "list", Data: make([]modelObject, 0, len(units))}
	for i := range units {
		list.Data = append(list.Data, newModelObject(units[i].Name, activeContract.Customer))
	}
	return h.sendJSON(x, list)
}

func (h *Handler) getModel(x *exchange) error {
	activeContract, err := h.identify(x)
	if err != nil {
		return err
	}
	id := x.r.PathValue("id")
	if _, ok := activeContract.FindUnit(id); !ok {
		return x.preferNotReady(unknownModel(id))
	}
	return h.sendJSON(x, newModelObject(id, activeContract.Customer))
}

// unknownModel returns the same refusal for a model that does not exist and for a
// model of another customer, so that callers can't discover other customers' models.
func unknownModel(name string) *refusal.Refusal {
	return refusal.New(refusal.CodeNotFound, 0, "no model %.80q", name)
}
