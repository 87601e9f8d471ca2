package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// statusClientClosed is the status that is logged when nobody reads it.
const statusClientClosed = 499

// statuses are the codes whose HTTP status differs from that of their class.
var statuses = map[result.Code]int{
	result.BadJSON:            http.StatusBadRequest,
	result.UnknownField:       http.StatusBadRequest,
	result.InvalidValue:       http.StatusBadRequest,
	result.BodyTooLarge:       http.StatusRequestEntityTooLarge,
	result.UnknownService:     http.StatusNotFound,
	result.UnknownCaller:      http.StatusForbidden,
	result.CallerRate:         http.StatusTooManyRequests,
	result.CallerInFlight:     http.StatusTooManyRequests,
	result.PermitRequired:     http.StatusBadRequest,
	result.PermitMalformed:    http.StatusBadRequest,
	result.PermitExpired:      http.StatusGone,
	result.PermitBodyMismatch: http.StatusConflict,
	result.PermitNeverIssued:  http.StatusNotFound,
	result.PermitBurnt:        http.StatusGone,
	result.Quarantined:        http.StatusUnprocessableEntity,
	result.CallerGone:         statusClientClosed,
	result.NotRepeatable:      http.StatusConflict,
	result.MethodNotAllowed:   http.StatusMethodNotAllowed,
	result.NotFound:           http.StatusNotFound,
	result.WrongMediaType:     http.StatusUnsupportedMediaType,
	result.BodyTimeout:        http.StatusRequestTimeout,
	result.Internal:           http.StatusInternalServerError,
}

// Status returns the HTTP status of an answer with code c.
func Status(c result.Code) int {
	if status, ok := statuses[c]; ok {
		return status
	}
	switch c.Class() {
	case result.ClassComplete, result.ClassPartial:
		return http.StatusOK
	case result.ClassNotRun:
		return http.StatusServiceUnavailable
	case result.ClassUnknown:
		return http.StatusGatewayTimeout
	case result.ClassFailed:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

func (s *server) write(ctx iris.Context, code result.Code, requestID string, body []byte) {
	s.writeStatus(ctx, Status(code), code, requestID, body)
}

// writeStatus sends an answer. Errors are ignored: the caller is gone, and what
// was decided about its request stands.
func (s *server) writeStatus(ctx iris.Context, status int, code result.Code, requestID string, body []byte) {
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	_ = control.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	ctx.Header("Content-Type", "application/json; charset=utf-8")
	ctx.Header("Content-Length", strconv.Itoa(len(body)))
	if code != 0 {
		ctx.Header(api.HeaderCode, strconv.Itoa(int(code)))
	}
	if requestID = echoable(requestID); requestID != "" {
		ctx.Header(api.HeaderRequestID, requestID)
	}
	ctx.StatusCode(status)
	_, _ = ctx.Write(body)
}

// encode marshals an answer; no answer type has a value that can't be.
func encode(answer any) []byte {
	data, err := json.Marshal(answer)
	if err != nil {
		data, _ = json.Marshal(api.NewErrorAnswer("", result.Errorf(result.Internal, "%v", err)))
	}
	return data
}

// encodeQuery encodes a; if its hits are over the bound, the last ones are cut
// and the answer says so.
func (s *server) encodeQuery(a *api.QueryAnswer) []byte {
	if a.Hits == nil {
		a.Hits = []api.Hit{}
	}
	data := encode(a)
	if len(data) <= s.options.MaxAnswerBytes {
		return data
	}
	s.cutHits(a)
	return encode(a)
}

func (s *server) cutHits(a *api.QueryAnswer) {
	size := 0
	for i := range a.Hits {
		size += len(encode(a.Hits[i])) + 1
		if size > s.options.MaxAnswerBytes {
			a.Hits = a.Hits[:i]
			break
		}
	}
	a.Truncated = true
	if a.Code == result.Complete {
		a.Code = result.Truncated
		a.Name = a.Code.String()
		a.Class = a.Code.Class().String()
	}
}
