package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/kataras/iris/v12"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// readRequest checks the media type and decodes the body into request, a pointer.
func (s *server) readRequest(ctx iris.Context, request any) *result.Error {
	media, _, err := mime.ParseMediaType(ctx.GetHeader("Content-Type"))
	if err != nil || media != "application/json" {
		return result.FieldErrorf(result.WrongMediaType, "Content-Type", "got %q, want application/json", media)
	}
	data, refusal := s.readBody(ctx)
	if refusal != nil {
		return refusal
	}
	return decode(data, request)
}

// readBody reads the whole body, because the HTTP server can detect that the caller
// disconnects during the request only once the body has been read.
func (s *server) readBody(ctx iris.Context) ([]byte, *result.Error) {
	writer := ctx.ResponseWriter().Naive()
	controller := http.NewResponseController(writer)
	if err := controller.SetReadDeadline(time.Now().Add(s.options.BodyTimeout)); err != nil {
		return nil, result.Errorf(result.Internal, "%v", err)
	}
	body := http.MaxBytesReader(writer, ctx.Request().Body, s.options.MaxBodyBytes)
	data, err := callerconn.FromContext(ctx.Request().Context()).ReadBody(body, ctx.Request().ContentLength)
	if err != nil {
		return nil, s.bodyError(err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, result.Errorf(result.Internal, "%v", err)
	}
	return data, nil
}

func (s *server) bodyError(err error) *result.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, callerconn.ErrGivenUp):
		return result.Errorf(result.CallerMemory, "callers take all the memory that they may")
	case errors.As(err, &tooLarge):
		return result.Errorf(result.BodyTooLarge, "at most %d bytes are allowed", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Errorf(result.BodyTimeout, "the body did not arrive within %s", s.options.BodyTimeout)
	default:
		return result.Errorf(result.BadJSON, "the body ended early")
	}
}

const unknownFieldPrefix = "json: unknown field "

func decode(data []byte, request any) *result.Error {
	if !utf8.Valid(data) {
		return result.Errorf(result.BadJSON, "the body is not UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(request); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return result.Errorf(result.BadJSON, "the body has more than one value")
	}
	return nil
}

func decodeError(err error) *result.Error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return result.FieldErrorf(result.InvalidValue, wrongType.Field, "got a JSON %s, want %s", wrongType.Value, wrongType.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return result.FieldErrorf(result.UnknownField, strings.Trim(name, `"`), "the API has no such field")
	}
	return result.Errorf(result.BadJSON, "%v", err)
}

// requestID returns the request ID of the body, or else that of the header.
func requestID(ctx iris.Context, fromBody string) string {
	if fromBody != "" {
		return fromBody
	}
	return ctx.GetHeader(api.HeaderRequestID)
}

// echoableID returns id, or "" if id is not valid and so must not be repeated in an
// answer.
func echoableID(id string) string {
	if len(id) > api.MaxNameBytes || !isPrintable(id) {
		return ""
	}
	return id
}
