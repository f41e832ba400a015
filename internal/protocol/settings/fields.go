package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Field describes one setting, for documentation and for printing.
type Field struct {
	// Path is the table and key, joined by a dot.
	Path string
	// Type is "string", "integer", "number" or "list of strings".
	Type string
	// Default is the default in TOML form; empty when there is none.
	Default string
	// Env is the overriding environment variable; empty when there is none.
	Env string
	// Bounds is "min to max"; empty when the value is not a number.
	Bounds string
	Doc    string
	// Secret fields are not printed.
	Secret bool
}

// field is the description of a setting and the location of its value in Settings.
type field struct {
	Field
	index    [2]int // section and key within Settings
	check    string
	min, max string
}

var fields = collectFields()

func collectFields() []field {
	var all []field
	root := reflect.TypeFor[Settings]()
	defaults := Default()
	for i := range root.NumField() {
		section := root.Field(i)
		for j := range section.Type.NumField() {
			f := newField(section.Tag.Get("toml"), section.Type.Field(j), [2]int{i, j})
			f.Default = formatValue(f.value(&defaults))
			if f.Default == `""` || f.Default == "[]" {
				f.Default = ""
			}
			all = append(all, f)
		}
	}
	return all
}

func newField(section string, key reflect.StructField, index [2]int) field {
	f := field{
		Field: Field{
			Path:   section + "." + key.Tag.Get("toml"),
			Type:   typeName(key.Type.Kind()),
			Env:    key.Tag.Get("env"),
			Doc:    key.Tag.Get("doc"),
			Secret: key.Tag.Get("secret") == "true",
		},
		index: index,
		check: key.Tag.Get("check"),
		min:   key.Tag.Get("min"),
		max:   key.Tag.Get("max"),
	}
	if f.min != "" {
		f.Bounds = f.min + " to " + f.max
	}
	return f
}

func (f field) value(s *Settings) reflect.Value {
	return reflect.ValueOf(s).Elem().Field(f.index[0]).Field(f.index[1])
}

func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "string"
	case reflect.Int64:
		return "integer"
	case reflect.Float64:
		return "number"
	default:
		return "list of strings"
	}
}

func formatValue(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return strconv.Quote(v.String())
	case reflect.Slice:
		quoted := make([]string, v.Len())
		for i := range quoted {
			quoted[i] = strconv.Quote(v.Index(i).String())
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	default:
		return fmt.Sprint(v.Interface())
	}
}

// Describe lists every setting in the order of its declaration.
func Describe() []Field {
	list := make([]Field, len(fields))
	for i, f := range fields {
		list[i] = f.Field
	}
	return list
}
