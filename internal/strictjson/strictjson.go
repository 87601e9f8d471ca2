// Package strictjson decodes files of JSON with comments that people write.
//
// It reports every fault of a file at once, each with its line and the path of
// its field: syntax errors, unknown and repeated fields, and values of a wrong
// type. The caller then checks the values and adds its own faults to the
// [Document], which knows the line of every field.
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

// MaxFileBytes is the largest file that is parsed.
const MaxFileBytes = 1 << 20

// maxDepth bounds the nesting of brackets.
const maxDepth = 100

// Codes are the result codes of the faults that decoding finds.
type Codes struct {
	Syntax result.Code
	Field  result.Code
}

// Document is a decoded file with the lines of its fields.
type Document struct {
	file  string
	codes Codes
	data  []byte
	// newlines are the offsets of the line ends.
	newlines []int
	lines    map[string]int
	faults   Faults
	// reported holds the paths with a fault, broken those of a wrong type.
	reported map[string]bool
	broken   map[string]bool
}

// Decode decodes data into the struct that into points to. Fields are matched
// by their json tags, exactly. What could not be decoded is left as it was.
func Decode(file string, data []byte, into any, codes Codes) *Document {
	d := &Document{
		file:     file,
		codes:    codes,
		data:     data,
		lines:    make(map[string]int),
		reported: make(map[string]bool),
		broken:   make(map[string]bool),
	}
	root, ok := d.parse()
	if !ok {
		return d
	}
	d.newlines = newlines(data)
	d.lines[""] = d.line(root.StartOffset)
	d.value("", root, reflect.ValueOf(into).Elem())
	return d
}

func (d *Document) parse() (hujson.Value, bool) {
	if len(d.data) > MaxFileBytes {
		d.fault(d.codes.Syntax, 0, "", fmt.Sprintf("the file has %d bytes", len(d.data)), fmt.Sprintf("at most %d are allowed", MaxFileBytes))
		return hujson.Value{}, false
	}
	if depth(d.data) > maxDepth {
		d.fault(d.codes.Syntax, 0, "", "brackets are nested too deeply", fmt.Sprintf("at most %d levels are allowed", maxDepth))
		return hujson.Value{}, false
	}
	root, err := hujson.Parse(d.data)
	if err != nil {
		line, reason := syntaxError(err)
		d.fault(d.codes.Syntax, line, "", reason, "the file must be one JSON object with comments")
		return root, false
	}
	return root, true
}

// Usable reports whether the file holds an object, so that its values can be
// checked.
func (d *Document) Usable() bool { return len(d.lines) > 0 && !d.broken[""] }

// HasField reports whether the file gives the field at path.
func (d *Document) HasField(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// AddFault records a fault of the field at path. A field that is absent gets the
// line of the nearest object around it. Only the first fault of a field is
// kept, and none below a field of a wrong type.
func (d *Document) AddFault(code result.Code, path, reason, remedy string) {
	if d.reported[path] || d.insideBroken(path) {
		return
	}
	d.fault(code, d.lineOf(path), path, reason, remedy)
}

// Faults returns all faults in the order of their lines.
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

func (d *Document) insideBroken(path string) bool {
	for path != "" {
		if d.broken[path] {
			return true
		}
		path = parent(path)
	}
	return false
}

func (d *Document) fault(code result.Code, line int, path, reason, remedy string) {
	d.reported[path] = true
	d.faults = append(d.faults, Fault{Code: code, File: d.file, Line: line, Field: path, Reason: reason, Remedy: remedy})
}

func (d *Document) lineOf(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
}

// parent returns the path of the object or list around path.
func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func (d *Document) line(offset int) int {
	before, _ := slices.BinarySearch(d.newlines, offset)
	return 1 + before
}

func newlines(data []byte) []int {
	var out []int
	for i, c := range data {
		if c == '\n' {
			out = append(out, i)
		}
	}
	return out
}

var positionPattern = regexp.MustCompile(`line (\d+), column \d+`)

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

// depth estimates the nesting; it doesn't tell brackets in strings and comments
// apart. Together with MaxFileBytes it keeps the parser's stack small.
func depth(data []byte) int {
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
