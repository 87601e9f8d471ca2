package strictjson

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

func (d *Document) value(path string, v hujson.Value, into reflect.Value) {
	if path != "" {
		d.lines[path] = d.line(v.StartOffset)
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(path, v, into.Elem())
	case reflect.Struct:
		d.object(path, v, into)
	case reflect.Slice:
		d.array(path, v, into)
	default:
		d.literal(path, v, into)
	}
}

func (d *Document) object(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]bool, len(object.Members))
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		d.member(join(path, name), name, m, fields, seen, into)
	}
}

func (d *Document) member(path, name string, m hujson.ObjectMember, fields map[string]int, seen map[string]bool, into reflect.Value) {
	line := d.line(m.Name.StartOffset)
	index, known := fields[name]
	switch {
	case !known:
		d.fault(d.codes.Field, line, path, "unknown field", "allowed here: "+strings.Join(sortedNames(fields), ", "))
	case seen[name]:
		d.fault(d.codes.Field, line, path, "the field is given twice", "give it once")
	default:
		seen[name] = true
		d.value(path, m.Value, into.Field(index))
	}
}

func (d *Document) array(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(path, v, "a list")
		return
	}
	out := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, out.Index(i))
	}
	into.Set(out)
}

func (d *Document) literal(path string, v hujson.Value, into reflect.Value) {
	lit, _ := v.Value.(hujson.Literal)
	switch into.Kind() {
	case reflect.String:
		if lit.Kind() != '"' {
			d.wrongType(path, v, "a string")
			return
		}
		into.SetString(lit.String())
	case reflect.Bool:
		if lit.Kind() != 't' && lit.Kind() != 'f' {
			d.wrongType(path, v, "true or false")
			return
		}
		into.SetBool(lit.Bool())
	case reflect.Int:
		n, err := strconv.ParseInt(string(lit), 10, 32)
		if err != nil {
			d.wrongType(path, v, "a whole number without unit")
			return
		}
		into.SetInt(n)
	default:
		panic("strictjson: unsupported kind " + into.Kind().String())
	}
}

// maxShown bounds the part of a value that a fault quotes, in bytes.
const maxShown = 40

func (d *Document) wrongType(path string, v hujson.Value, want string) {
	got := "an object"
	switch value := v.Value.(type) {
	case *hujson.Array:
		got = "a list"
	case hujson.Literal:
		got = string(value[:min(len(value), maxShown)])
	}
	d.broken[path] = true
	d.fault(d.codes.Field, d.line(v.StartOffset), path, "got "+got, "want "+want)
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func sortedNames(fields map[string]int) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
