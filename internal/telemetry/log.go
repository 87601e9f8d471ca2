package telemetry

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// timeFormat is the format of times in the log, in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// keyValueWriter formats events as time=… level=… message=… key=value, in the
// order of the fields, without colours. Values with spaces are quoted.
func keyValueWriter(w io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out:        w,
		NoColor:    true,
		TimeFormat: timeFormat,
		FormatTimestamp: func(v any) string {
			return fmt.Sprintf("time=%v", v)
		},
		FormatLevel: func(v any) string {
			return fmt.Sprintf("level=%v", v)
		},
		FormatMessage: func(v any) string {
			return "message=" + quote(text(v))
		},
		FormatFieldName: func(v any) string {
			return fmt.Sprintf("%v=", v)
		},
		FormatFieldValue: func(v any) string {
			return quote(text(v))
		},
		FormatErrFieldName: func(v any) string {
			return fmt.Sprintf("%v=", v)
		},
		FormatErrFieldValue: func(v any) string {
			return quote(text(v))
		},
	}
}

// text returns the text of a value; the console writer passes booleans and
// composite values as the bytes of their JSON.
func text(v any) string {
	if data, ok := v.([]byte); ok {
		return string(data)
	}
	return fmt.Sprint(v)
}

// quote quotes a value that would break the key=value form.
func quote(v string) string {
	if v == "" || strings.ContainsAny(v, " \t\r\n\"=") {
		if unquoted, err := strconv.Unquote(v); err == nil {
			v = unquoted
		}
		return strconv.Quote(v)
	}
	return v
}
