// Package resource defines the declarations that operators create, and checks them.
//
// A resource travels as a Document: a kind, a name, a version and a JSON spec. Decode turns the
// spec into the typed value for its kind. The package does no input or output.
package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
)

// Kind names a type of resource.
type Kind string

// The kinds of resource.
const (
	KindClientAccount Kind = "ClientAccount"
	KindKey           Kind = "Key"
	KindRoute         Kind = "Route"
	KindPool          Kind = "Pool"
	KindUpstream      Kind = "Upstream"
	KindOrder         Kind = "Order"
)

// Kinds lists all kinds in the order in which they depend on each other.
func Kinds() []Kind {
	return []Kind{KindClientAccount, KindKey, KindPool, KindUpstream, KindRoute, KindOrder}
}

// Ref identifies one resource.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the reference as Kind/Name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Document is a resource as operators write it and as the log carries it.
type Document struct {
	Kind Kind
	Name string
	// Version is the log offset of the last accepted write, or 0 before the first.
	Version uint64 `json:",omitempty"`
	Spec    json.RawMessage
}

// Ref returns the reference of the document.
func (d Document) Ref() Ref { return Ref{Kind: d.Kind, Name: d.Name} }

// WithVersion returns a copy of the document with another version.
func (d Document) WithVersion(version uint64) Document {
	d.Version = version
	return d
}

// SameSpec reports whether two documents declare the same, whatever their version and spacing.
func (d Document) SameSpec(other Document) bool {
	return d.Ref() == other.Ref() && bytes.Equal(compact(d.Spec), compact(other.Spec))
}

func compact(raw json.RawMessage) []byte {
	var value any
	if json.Unmarshal(raw, &value) != nil {
		return raw
	}
	out, err := json.Marshal(value)
	if err != nil {
		return raw
	}
	return out
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Check reports the first fault of a document, or nil.
func Check(doc Document) error {
	if !namePattern.MatchString(doc.Name) {
		return &Error{Op: "check " + doc.Ref().String(), Kind: ErrInvalid,
			Err: fmt.Errorf("name %q is not 1 to 63 of a-z, 0-9, '.' and '-'", doc.Name)}
	}
	_, err := Decode(doc)
	return err
}

// Decode returns the checked, typed spec of a document: a ClientAccount, Key, Route, Pool,
// Upstream or Order.
func Decode(doc Document) (any, error) {
	switch doc.Kind {
	case KindClientAccount:
		return decode[ClientAccount](doc)
	case KindKey:
		return decode[Key](doc)
	case KindRoute:
		return decode[Route](doc)
	case KindPool:
		return decode[Pool](doc)
	case KindUpstream:
		return decode[Upstream](doc)
	case KindOrder:
		return decode[Order](doc)
	}
	return nil, &Error{Op: "decode " + doc.Ref().String(), Kind: ErrUnknown, Err: fmt.Errorf("kind %q does not exist", doc.Kind)}
}

type spec[T any] interface {
	named(name string) T
	check() error
}

func decode[T spec[T]](doc Document) (T, error) {
	var value T
	dec := json.NewDecoder(bytes.NewReader(doc.Spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&value); err != nil {
		return value, &Error{Op: "decode " + doc.Ref().String(), Kind: ErrMalformed, Err: err}
	}
	value = value.named(doc.Name)
	if err := value.check(); err != nil {
		return value, &Error{Op: "check " + doc.Ref().String(), Kind: ErrInvalid, Err: err}
	}
	return value, nil
}

// Encode returns the document for a typed spec.
func Encode(kind Kind, name string, spec any) (Document, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return Document{}, &Error{Op: "encode " + string(kind) + "/" + name, Kind: ErrMalformed, Err: err}
	}
	return Document{Kind: kind, Name: name, Spec: raw}, nil
}

func inRange[T int | int64 | float64](field string, value, low, high T) error {
	if value < low || value > high {
		return fmt.Errorf("%s is %v, outside %v to %v", field, value, low, high)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
