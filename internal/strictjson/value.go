package strictjson

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decodeValue decodes v into a field and records the line of the field.
func (d *Document) decodeValue(path string, v hujson.Value, into reflect.Value) {
	if path != "" {
		d.fieldLines[path] = d.lineAt(v.StartOffset)
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decodeValue(path, v, into.Elem())
	case reflect.Struct:
		d.decodeObject(path, v, into)
	case reflect.Slice:
		d.decodeArray(path, v, into)
	default:
		d.decodeLiteral(path, v, into)
	}
}

func (d *Document) decodeObject(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addTypeFault(path, v, "an object")
		return
	}
	fields := fieldIndexes(into.Type())
	seen := make(map[string]bool, len(object.Members))
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		d.decodeMember(joinPath(path, name), name, m, fields, seen, into)
	}
}

func (d *Document) decodeMember(path, name string, m hujson.ObjectMember, fields map[string]int, seen map[string]bool, into reflect.Value) {
	line := d.lineAt(m.Name.StartOffset)
	index, known := fields[name]
	switch {
	case !known:
		d.appendFault(d.codes.Field, line, path, "unknown field", "allowed here: "+strings.Join(sortedNames(fields), ", "))
	case seen[name]:
		d.appendFault(d.codes.Field, line, path, "the field is repeated", "give it only once")
	default:
		seen[name] = true
		d.decodeValue(path, m.Value, into.Field(index))
	}
}

func (d *Document) decodeArray(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addTypeFault(path, v, "a list")
		return
	}
	out := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, out.Index(i))
	}
	into.Set(out)
}

func (d *Document) decodeLiteral(path string, v hujson.Value, into reflect.Value) {
	lit, _ := v.Value.(hujson.Literal)
	switch into.Kind() {
	case reflect.String:
		if lit.Kind() != '"' {
			d.addTypeFault(path, v, "a string")
			return
		}
		into.SetString(lit.String())
	case reflect.Bool:
		if lit.Kind() != 't' && lit.Kind() != 'f' {
			d.addTypeFault(path, v, "true or false")
			return
		}
		into.SetBool(lit.Bool())
	case reflect.Int:
		n, err := strconv.ParseInt(string(lit), 10, 32)
		if err != nil {
			d.addTypeFault(path, v, "a whole number without unit")
			return
		}
		into.SetInt(n)
	default:
		panic("strictjson: unsupported kind " + into.Kind().String())
	}
}

// maxQuotedBytes bounds the part of a value that a fault quotes.
const maxQuotedBytes = 40

func (d *Document) addTypeFault(path string, v hujson.Value, want string) {
	got := "an object"
	switch value := v.Value.(type) {
	case *hujson.Array:
		got = "a list"
	case hujson.Literal:
		got = string(value[:min(len(value), maxQuotedBytes)])
	}
	d.mistyped[path] = true
	d.appendFault(d.codes.Field, d.lineAt(v.StartOffset), path, "got "+got, "want "+want)
}

// fieldIndexes returns the indexes of the fields of a struct type by their name in
// JSON.
func fieldIndexes(t reflect.Type) map[string]int {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
