package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const minPeerSecretLength = 16

// Load reads and checks the settings file at path. Errors are of type *Error.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read settings", Kind: ErrUnreadable, Err: err}
	}
	return Parse(data)
}

// Parse parses settings from JSON with comments, fills in defaults and checks all fields. The returned *Error lists
// every invalid field.
func Parse(data []byte) (Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, &Error{Op: "parse settings", Kind: ErrMalformed, Err: err}
	}
	var cfg Settings
	setDefaults(reflect.ValueOf(&cfg).Elem())
	c := checker{source: data, root: root}
	standard := root.Clone()
	standard.Standardize()
	var raw any
	if err := json.Unmarshal(standard.Pack(), &raw); err != nil {
		return Settings{}, &Error{Op: "parse settings", Kind: ErrMalformed, Err: err}
	}
	c.checkUnknownFields(reflect.TypeFor[Settings](), raw, "")
	if err := json.Unmarshal(standard.Pack(), &cfg); err != nil {
		c.addError("", err.Error())
	}
	c.gatewayEnabled = cfg.Gateway.Enabled()
	c.checkValues(reflect.ValueOf(cfg), "")
	c.checkAccess(cfg.Access)
	if cfg.Gateway.Store != "" && cfg.Gateway.File != "" {
		c.addError("/Gateway/File", "must not be set together with Gateway.Store")
	}
	if len(c.fieldErrors) > 0 {
		return Settings{}, &Error{Op: "check settings", Kind: ErrInvalid, FieldErrors: c.fieldErrors}
	}
	return cfg, nil
}

func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		field, tag := v.Field(i), v.Type().Field(i).Tag.Get("default")
		switch {
		case field.Kind() == reflect.Struct:
			setDefaults(field)
		case tag == "":
		case field.Kind() == reflect.Int:
			n, _ := strconv.ParseInt(tag, 10, 64)
			field.SetInt(n)
		case field.Kind() == reflect.Float64:
			n, _ := strconv.ParseFloat(tag, 64)
			field.SetFloat(n)
		case field.Kind() == reflect.String:
			field.SetString(tag)
		}
	}
}

type checker struct {
	source      []byte
	root        hujson.Value
	fieldErrors []FieldError
	// gatewayEnabled is whether the VM serves as a gateway, which needs neither the log nor the list of VMs.
	gatewayEnabled bool
}

func (c *checker) addError(pointer, reason string) {
	fieldErr := FieldError{Field: strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", "."), Reason: reason}
	if found := c.root.Find(pointer); found != nil && pointer != "" {
		before := c.source[:found.StartOffset]
		fieldErr.Line = 1 + bytes.Count(before, []byte("\n"))
		fieldErr.Column = found.StartOffset - bytes.LastIndexByte(before, '\n')
	}
	c.fieldErrors = append(c.fieldErrors, fieldErr)
}

// checkUnknownFields reports the fields of raw that the struct type t does not have. pointer is the JSON pointer of
// raw.
func (c *checker) checkUnknownFields(t reflect.Type, raw any, pointer string) {
	object, ok := raw.(map[string]any)
	if !ok {
		return
	}
	names := slices.Sorted(func(yield func(string) bool) {
		for name := range object {
			if !yield(name) {
				return
			}
		}
	})
	for _, name := range names {
		field, exists := t.FieldByName(name)
		switch {
		case !exists:
			c.addError(pointer+"/"+name, "unknown field")
		case field.Type.Kind() == reflect.Struct:
			c.checkUnknownFields(field.Type, object[name], pointer+"/"+name)
		case field.Type.Kind() == reflect.Slice:
			items, _ := object[name].([]any)
			for i, item := range items {
				c.checkUnknownFields(field.Type.Elem(), item, fmt.Sprintf("%s/%s/%d", pointer, name, i))
			}
		}
	}
}

// checkValues checks the fields of v and of nested structs against their tags. parent is the JSON pointer of v.
func (c *checker) checkValues(v reflect.Value, parent string) {
	for i := range v.NumField() {
		field, info := v.Field(i), v.Type().Field(i)
		pointer := parent + "/" + info.Name
		switch field.Kind() {
		case reflect.Struct:
			c.checkValues(field, pointer)
		case reflect.Int:
			c.checkNumber(pointer, float64(field.Int()), info.Tag)
		case reflect.Float64:
			c.checkNumber(pointer, field.Float(), info.Tag)
		case reflect.String:
			c.checkText(pointer, field.String(), info.Tag)
		}
	}
}

func (c *checker) checkNumber(pointer string, value float64, tag reflect.StructTag) {
	low, _ := strconv.ParseFloat(tag.Get("min"), 64)
	high, _ := strconv.ParseFloat(tag.Get("max"), 64)
	if value < low || value > high {
		c.addError(pointer, fmt.Sprintf("%v is outside %s to %s", value, tag.Get("min"), tag.Get("max")))
	}
}

// requiredWithoutGateway is the value of the tag "required" of fields that only a gateway may leave empty.
const requiredWithoutGateway = "without Gateway"

func (c *checker) checkText(pointer, value string, tag reflect.StructTag) {
	switch {
	case value == "" && c.gatewayEnabled && tag.Get("required") == requiredWithoutGateway:
	case value == "" && tag.Get("required") != "":
		c.addError(pointer, "must be set")
	case value == "":
	case tag.Get("kind") == "address":
		host, _, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			c.addError(pointer, fmt.Sprintf("%q is not an IP address and port", value))
		}
	case tag.Get("kind") == "url":
		u, err := url.Parse(value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			c.addError(pointer, fmt.Sprintf("%q is not an http or https URL", value))
		}
	case tag.Get("oneof") != "":
		if !slices.Contains(strings.Fields(tag.Get("oneof")), value) {
			c.addError(pointer, fmt.Sprintf("%q is not one of: %s", value, tag.Get("oneof")))
		}
	}
}

func (c *checker) checkAccess(access Access) {
	if n := len(access.PeerSecret); n > 0 && n < minPeerSecretLength {
		c.addError("/Access/PeerSecret", fmt.Sprintf("has %d characters, at least %d are needed", n, minPeerSecretLength))
	}
	for i, operator := range access.Operators {
		pointer := fmt.Sprintf("/Access/Operators/%d", i)
		if operator.Name == "" {
			c.addError(pointer, "Name must be set")
		}
		if len(operator.TokenHash) != 64 {
			c.addError(pointer, "TokenHash is not a hexadecimal SHA-256")
		}
	}
}
