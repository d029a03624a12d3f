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

const minPeerSecret = 16

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read settings", Kind: ErrUnreadable, Err: err}
	}
	return Parse(data)
}

// Parse returns checked settings from JSON with comments. Its Error lists every fault.
func Parse(data []byte) (Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, &Error{Op: "parse settings", Kind: ErrMalformed, Err: err}
	}
	var cfg Settings
	setDefaults(reflect.ValueOf(&cfg).Elem())
	check := checker{source: data, root: root}
	standard := root.Clone()
	standard.Standardize()
	var raw any
	if err := json.Unmarshal(standard.Pack(), &raw); err != nil {
		return Settings{}, &Error{Op: "parse settings", Kind: ErrMalformed, Err: err}
	}
	check.unknown(reflect.TypeFor[Settings](), raw, "")
	if err := json.Unmarshal(standard.Pack(), &cfg); err != nil {
		check.add("", err.Error())
	}
	check.gateway = cfg.Gateway.Enabled()
	check.values(reflect.ValueOf(cfg), "")
	check.access(cfg.Access)
	if cfg.Gateway.Store != "" && cfg.Gateway.File != "" {
		check.add("/Gateway/File", "the gateway has a store already")
	}
	if len(check.faults) > 0 {
		return Settings{}, &Error{Op: "check settings", Kind: ErrInvalid, Faults: check.faults}
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
	source []byte
	root   hujson.Value
	faults []Fault
	// gateway says that the VM serves as a gateway, which needs no log and no list.
	gateway bool
}

func (c *checker) add(pointer, reason string) {
	fault := Fault{Field: strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", "."), Reason: reason}
	if found := c.root.Find(pointer); found != nil && pointer != "" {
		before := c.source[:found.StartOffset]
		fault.Line = 1 + bytes.Count(before, []byte("\n"))
		fault.Column = found.StartOffset - bytes.LastIndexByte(before, '\n')
	}
	c.faults = append(c.faults, fault)
}

// unknown reports fields that Settings does not have.
func (c *checker) unknown(t reflect.Type, raw any, at string) {
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
			c.add(at+"/"+name, "the field does not exist")
		case field.Type.Kind() == reflect.Struct:
			c.unknown(field.Type, object[name], at+"/"+name)
		case field.Type.Kind() == reflect.Slice:
			items, _ := object[name].([]any)
			for i, item := range items {
				c.unknown(field.Type.Elem(), item, fmt.Sprintf("%s/%s/%d", at, name, i))
			}
		}
	}
}

// values checks each field against its tags.
func (c *checker) values(v reflect.Value, at string) {
	for i := range v.NumField() {
		field, info := v.Field(i), v.Type().Field(i)
		pointer := at + "/" + info.Name
		switch field.Kind() {
		case reflect.Struct:
			c.values(field, pointer)
		case reflect.Int:
			c.number(pointer, float64(field.Int()), info.Tag)
		case reflect.Float64:
			c.number(pointer, field.Float(), info.Tag)
		case reflect.String:
			c.text(pointer, field.String(), info.Tag)
		}
	}
}

func (c *checker) number(pointer string, value float64, tag reflect.StructTag) {
	low, _ := strconv.ParseFloat(tag.Get("min"), 64)
	high, _ := strconv.ParseFloat(tag.Get("max"), 64)
	if value < low || value > high {
		c.add(pointer, fmt.Sprintf("%v is outside %s to %s", value, tag.Get("min"), tag.Get("max")))
	}
}

// requiredWithoutGateway marks fields that must be set unless the VM serves as a gateway.
const requiredWithoutGateway = "without Gateway"

func (c *checker) text(pointer, value string, tag reflect.StructTag) {
	switch {
	case value == "" && c.gateway && tag.Get("required") == requiredWithoutGateway:
	case value == "" && tag.Get("required") != "":
		c.add(pointer, "must be set")
	case value == "":
	case tag.Get("kind") == "address":
		host, _, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			c.add(pointer, fmt.Sprintf("%q is not an IP address and port", value))
		}
	case tag.Get("kind") == "url":
		u, err := url.Parse(value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			c.add(pointer, fmt.Sprintf("%q is not an http or https URL", value))
		}
	case tag.Get("oneof") != "":
		if !slices.Contains(strings.Fields(tag.Get("oneof")), value) {
			c.add(pointer, fmt.Sprintf("%q is not one of: %s", value, tag.Get("oneof")))
		}
	}
}

func (c *checker) access(access Access) {
	if n := len(access.PeerSecret); n > 0 && n < minPeerSecret {
		c.add("/Access/PeerSecret", fmt.Sprintf("has %d characters, at least %d are needed", n, minPeerSecret))
	}
	for i, operator := range access.Operators {
		at := fmt.Sprintf("/Access/Operators/%d", i)
		if operator.Name == "" {
			c.add(at, "Name must be set")
		}
		if len(operator.TokenHash) != 64 {
			c.add(at, "TokenHash is not a hexadecimal SHA-256")
		}
	}
}
