// Package strictjson decodes files in JSON with comments that are written by hand.
//
// It reports syntax errors, unknown and repeated fields, and values of a wrong type.
// All faults of a file are reported at once, each with its line and the path of its
// field. The caller then validates the values and adds its own faults to the
// [Document], which has the line of every field.
package strictjson

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// MaxFileBytes is the size of the largest file that is parsed.
const MaxFileBytes = 1 << 20

// maxDepth bounds the nesting of objects and arrays.
const maxDepth = 100

// Codes are the result codes of the faults that decoding finds.
type Codes struct {
	Syntax result.Code
	Field  result.Code
}

// Document holds the line numbers of the fields of a decoded file, and its faults.
type Document struct {
	file  string
	codes Codes
	data  []byte
	// newlineOffsets are the offsets of the newline characters in data.
	newlineOffsets []int
	// fieldLines holds the line number of each field by its path; the path of the
	// root is empty.
	fieldLines map[string]int
	faults     Faults
	// reported holds the paths that have a fault, and mistyped those whose value has
	// a wrong type.
	reported map[string]bool
	mistyped map[string]bool
}

// Decode decodes data into the struct that into points to. Field names must match
// the json tags exactly, including case. Fields that could not be decoded are left
// unchanged.
func Decode(file string, data []byte, into any, codes Codes) *Document {
	d := &Document{
		file:       file,
		codes:      codes,
		data:       data,
		fieldLines: make(map[string]int),
		reported:   make(map[string]bool),
		mistyped:   make(map[string]bool),
	}
	root, ok := d.parse()
	if !ok {
		return d
	}
	d.newlineOffsets = newlineOffsets(data)
	d.fieldLines[""] = d.lineAt(root.StartOffset)
	d.decodeValue("", root, reflect.ValueOf(into).Elem())
	return d
}

func (d *Document) parse() (hujson.Value, bool) {
	if len(d.data) > MaxFileBytes {
		d.appendFault(d.codes.Syntax, 0, "", fmt.Sprintf("the file has %d bytes", len(d.data)), fmt.Sprintf("at most %d are allowed", MaxFileBytes))
		return hujson.Value{}, false
	}
	if nestingDepth(d.data) > maxDepth {
		d.appendFault(d.codes.Syntax, 0, "", "brackets are nested too deeply", fmt.Sprintf("at most %d levels are allowed", maxDepth))
		return hujson.Value{}, false
	}
	root, err := hujson.Parse(d.data)
	if err != nil {
		line, reason := syntaxError(err)
		d.appendFault(d.codes.Syntax, line, "", reason, "the file must be one JSON object with comments")
		return root, false
	}
	return root, true
}

// Usable reports whether the file was parsed and holds an object, so that its
// values can be validated.
func (d *Document) Usable() bool { return len(d.fieldLines) > 0 && !d.mistyped[""] }

// HasField reports whether the file has the field at path.
func (d *Document) HasField(path string) bool {
	_, ok := d.fieldLines[path]
	return ok
}

// AddFault adds a fault of the field at path; the document must be Usable. The fault
// of an absent field gets the line of the innermost enclosing field that is present.
// Only the first fault of a field is kept, and none inside a field of a wrong type.
func (d *Document) AddFault(code result.Code, path, reason, remedy string) {
	if d.reported[path] || d.insideMistyped(path) {
		return
	}
	d.appendFault(code, d.lineOf(path), path, reason, remedy)
}

// Faults returns all faults, ordered by line.
func (d *Document) Faults() Faults {
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	return d.faults
}

// Err returns the faults as an error, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return d.Faults()
}

// insideMistyped reports whether the field at path, or one that encloses it, has a
// value of a wrong type.
func (d *Document) insideMistyped(path string) bool {
	for path != "" {
		if d.mistyped[path] {
			return true
		}
		path = parentPath(path)
	}
	return false
}

func (d *Document) appendFault(code result.Code, line int, path, reason, remedy string) {
	d.reported[path] = true
	d.faults = append(d.faults, Fault{Code: code, File: d.file, Line: line, Field: path, Reason: reason, Remedy: remedy})
}

// lineOf returns the line of the field at path or, if it is absent, of the innermost
// enclosing field that is present.
func (d *Document) lineOf(path string) int {
	for {
		if line, ok := d.fieldLines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
}

// parentPath returns the path of the object or array that contains path.
func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// lineAt returns the line number of an offset in data.
func (d *Document) lineAt(offset int) int {
	before, _ := slices.BinarySearch(d.newlineOffsets, offset)
	return 1 + before
}

func newlineOffsets(data []byte) []int {
	var out []int
	for i, c := range data {
		if c == '\n' {
			out = append(out, i)
		}
	}
	return out
}

var positionPattern = regexp.MustCompile(`line (\d+), column \d+`)

// syntaxError returns the line and the reason of an error of hujson.Parse.
func syntaxError(err error) (line int, reason string) {
	reason = strings.TrimPrefix(err.Error(), "hujson: ")
	if m := positionPattern.FindStringSubmatch(reason); m != nil {
		line, _ = strconv.Atoi(m[1])
	}
	if inner := errors.Unwrap(err); inner != nil {
		reason = inner.Error()
	}
	return line, reason
}

// nestingDepth estimates the depth of nesting. It also counts brackets in strings
// and comments. The limit on it, with MaxFileBytes, bounds the parser's stack.
func nestingDepth(data []byte) int {
	level, deepest := 0, 0
	for _, c := range data {
		switch c {
		case '{', '[':
			level++
			deepest = max(deepest, level)
		case '}', ']':
			level = max(0, level-1)
		}
	}
	return deepest
}
