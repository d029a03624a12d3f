package resource

import (
	"errors"
	"fmt"
)

// OrderAction is the action that an Order requests from an engine.
type OrderAction string

// Actions of an Order.
const (
	ActionLoadModel   OrderAction = "LoadModel"
	ActionLoadAdapter OrderAction = "LoadAdapter"
	ActionSetRole     OrderAction = "SetRole"
)

// Order is a desired setting of one engine: its model, an adapter or its role. The version of the
// document is the fencing token of the order.
type Order struct {
	Name     string `json:"-"`
	Upstream string
	Action   OrderAction
	// Value is the model, adapter or role with its version, such as "summarizer@7".
	Value string
}

func (o Order) withNameAndDefaults(name string) Order {
	o.Name = name
	return o
}

func (o Order) check() error {
	if o.Upstream == "" || o.Value == "" {
		return errors.New("Upstream and Value must be set")
	}
	switch o.Action {
	case ActionLoadModel, ActionLoadAdapter, ActionSetRole:
		return nil
	}
	return fmt.Errorf("Action is %q, not LoadModel, LoadAdapter or SetRole", o.Action)
}
