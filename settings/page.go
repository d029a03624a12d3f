package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Page returns the content of docs/SETTINGS.md, generated from the tags of Settings.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the package settings by `cassiabridge check -page`. Settings are written in JSON\n" +
		"with comments; field names are in Pascal case. `cassiabridge check FILE` lists every invalid field with its position.\n\n")
	b.WriteString("| field | default | accepted | meaning |\n|---|---|---|---|\n")
	writeRows(&b, reflect.TypeFor[Settings](), "")
	return b.String()
}

func writeRows(b *strings.Builder, t reflect.Type, prefix string) {
	for i := range t.NumField() {
		field := t.Field(i)
		name := prefix + field.Name
		switch field.Type.Kind() {
		case reflect.Struct:
			writeRows(b, field.Type, name+".")
			continue
		case reflect.Slice:
			fmt.Fprintf(b, "| `%s[]` | | | %s |\n", name, field.Tag.Get("doc"))
			writeRows(b, field.Type.Elem(), name+"[].")
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", name, field.Tag.Get("default"), acceptedValues(field), field.Tag.Get("doc"))
	}
}

func acceptedValues(field reflect.StructField) string {
	tag := field.Tag
	switch {
	case tag.Get("min") != "":
		return tag.Get("min") + " to " + tag.Get("max")
	case tag.Get("oneof") != "":
		return strings.Join(strings.Fields(tag.Get("oneof")), ", ")
	case tag.Get("kind") != "":
		return tag.Get("kind")
	case tag.Get("required") != "":
		return "required"
	}
	return ""
}
