package telemetry

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// timeFormat is the format, RFC 3339 with milliseconds, of the time in the line about
// dropped lines. In all other lines FormatTimestamp writes the time as zerolog
// encodes it, in zerolog.TimeFieldFormat.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// keyValueWriter returns a writer of zerolog events that formats each as
// time=… level=… message=… key=value…, without colours. The field "error" comes
// first, and the others follow in the order of their names. Empty values, and those
// that contain white space, quotes or equals signs, are quoted.
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
			return "message=" + quoteIfNeeded(formatValue(v))
		},
		FormatFieldName: func(v any) string {
			return fmt.Sprintf("%v=", v)
		},
		FormatFieldValue: func(v any) string {
			return quoteIfNeeded(formatValue(v))
		},
		FormatErrFieldName: func(v any) string {
			return fmt.Sprintf("%v=", v)
		},
		FormatErrFieldValue: func(v any) string {
			return quoteIfNeeded(formatValue(v))
		},
	}
}

// formatValue returns a value as text. The console writer passes booleans and
// composite values as JSON, in a byte slice.
func formatValue(v any) string {
	if data, ok := v.([]byte); ok {
		return string(data)
	}
	return fmt.Sprint(v)
}

// quoteIfNeeded quotes a value that would be ambiguous in a line of key=value pairs
// without quotes. It unquotes the value first, since the console writer passes some
// values already quoted.
func quoteIfNeeded(v string) string {
	if v == "" || strings.ContainsAny(v, " \t\r\n\"=") {
		if unquoted, err := strconv.Unquote(v); err == nil {
			v = unquoted
		}
		return strconv.Quote(v)
	}
	return v
}
