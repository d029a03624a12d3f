// Package resource defines and validates the configuration resources that operators create.
//
// A resource is sent and stored as a Document: a kind, a name, a version and a JSON spec. Decode
// returns the spec as the Go type of its kind. The package does no I/O.
package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
)

// Kind is the type of a resource.
type Kind string

// Kinds of resources.
const (
	KindClientAccount Kind = "ClientAccount"
	KindKey           Kind = "Key"
	KindRoute         Kind = "Route"
	KindPool          Kind = "Pool"
	KindUpstream      Kind = "Upstream"
	KindOrder         Kind = "Order"
)

// Kinds returns all kinds. Each kind comes after the kinds that its resources refer to.
func Kinds() []Kind {
	return []Kind{KindClientAccount, KindKey, KindPool, KindUpstream, KindRoute, KindOrder}
}

// Ref identifies a resource by kind and name.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the reference as Kind/Name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Document is the encoded form of a resource, as operators write it and the log stores it.
type Document struct {
	Kind Kind
	Name string
	// Version is the log offset of the last accepted write, or 0 before the first.
	Version uint64 `json:",omitempty"`
	Spec    json.RawMessage
}

// Ref returns the reference of the document.
func (d Document) Ref() Ref { return Ref{Kind: d.Kind, Name: d.Name} }

// WithVersion returns a copy of the document with the given version.
func (d Document) WithVersion(version uint64) Document {
	d.Version = version
	return d
}

// SameSpec reports whether two documents have the same reference and an equivalent spec. Versions,
// whitespace and the order of JSON fields are ignored.
func (d Document) SameSpec(other Document) bool {
	return d.Ref() == other.Ref() && bytes.Equal(canonicalJSON(d.Spec), canonicalJSON(other.Spec))
}

// canonicalJSON re-encodes raw with sorted keys and without whitespace. It returns raw unchanged if it
// is not valid JSON.
func canonicalJSON(raw json.RawMessage) []byte {
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

// Check validates the name, kind and spec of a document. It returns the first problem found as an
// *Error, or nil.
func Check(doc Document) error {
	if !namePattern.MatchString(doc.Name) {
		return &Error{Op: "check " + doc.Ref().String(), Kind: ErrInvalid,
			Err: fmt.Errorf("name %q is not 1 to 63 of a-z, 0-9, '.' and '-'", doc.Name)}
	}
	_, err := Decode(doc)
	return err
}

// Decode decodes and validates the spec of a document, and fills in its name and default values. It
// returns a ClientAccount, Key, Route, Pool, Upstream or Order. Errors are of type *Error.
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

type typedSpec[T any] interface {
	withNameAndDefaults(name string) T
	check() error
}

func decode[T typedSpec[T]](doc Document) (T, error) {
	var value T
	dec := json.NewDecoder(bytes.NewReader(doc.Spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&value); err != nil {
		return value, &Error{Op: "decode " + doc.Ref().String(), Kind: ErrMalformed, Err: err}
	}
	value = value.withNameAndDefaults(doc.Name)
	if err := value.check(); err != nil {
		return value, &Error{Op: "check " + doc.Ref().String(), Kind: ErrInvalid, Err: err}
	}
	return value, nil
}

// Encode returns a document of version 0 with the given spec. Errors are of type *Error.
func Encode(kind Kind, name string, spec any) (Document, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return Document{}, &Error{Op: "encode " + string(kind) + "/" + name, Kind: ErrMalformed, Err: err}
	}
	return Document{Kind: kind, Name: name, Spec: raw}, nil
}

func checkRange[T int | int64 | float64](field string, value, low, high T) error {
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
