package resource

import (
	"errors"
	"fmt"
)

// OrderAction is what an engine is told to do.
type OrderAction string

// The actions of an order.
const (
	ActionLoadModel   OrderAction = "LoadModel"
	ActionLoadAdapter OrderAction = "LoadAdapter"
	ActionSetRole     OrderAction = "SetRole"
)

// Order is the desired state of one engine. Its version is the fencing number.
type Order struct {
	Name     string `json:"-"`
	Upstream string
	Action   OrderAction
	// Value is the model, adapter or role with its version, such as "cut-notes@7".
	Value string
}

func (o Order) named(name string) Order {
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
