package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// statusClientClosedRequest is the status of answers to callers that have
// disconnected. It is not a standard status; some HTTP servers use it in logs.
const statusClientClosedRequest = 499

// retryAfterSeconds is when a request may be repeated that was given up for memory.
const retryAfterSeconds = "1"

// statusByCode holds the codes whose HTTP status differs from that of their class.
var statusByCode = map[result.Code]int{
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
	result.CallerGone:         statusClientClosedRequest,
	result.NotRepeatable:      http.StatusConflict,
	result.MethodNotAllowed:   http.StatusMethodNotAllowed,
	result.NotFound:           http.StatusNotFound,
	result.WrongMediaType:     http.StatusUnsupportedMediaType,
	result.BodyTimeout:        http.StatusRequestTimeout,
	result.Internal:           http.StatusInternalServerError,
}

// Status returns the HTTP status of answers with code c.
func Status(c result.Code) int {
	if status, ok := statusByCode[c]; ok {
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

func (s *server) writeAnswer(ctx iris.Context, code result.Code, requestID string, body []byte) {
	s.writeAnswerWithStatus(ctx, Status(code), code, requestID, body)
}

// writeAnswerWithStatus sends an answer. It ignores errors, which mean that the
// caller has disconnected; the outcome of the request does not change.
func (s *server) writeAnswerWithStatus(ctx iris.Context, status int, code result.Code, requestID string, body []byte) {
	controller := http.NewResponseController(ctx.ResponseWriter().Naive())
	_ = controller.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	ctx.Header("Content-Type", "application/json; charset=utf-8")
	ctx.Header("Content-Length", strconv.Itoa(len(body)))
	if code != 0 {
		ctx.Header(api.HeaderCode, strconv.Itoa(int(code)))
	}
	if requestID = echoableID(requestID); requestID != "" {
		ctx.Header(api.HeaderRequestID, requestID)
	}
	if code == result.CallerMemory {
		ctx.Header("Retry-After", retryAfterSeconds)
		ctx.Header("Connection", "close")
	}
	callerconn.FromContext(ctx.Request().Context()).BeginAnswer(len(body))
	ctx.StatusCode(status)
	_, _ = ctx.Write(body)
}

// encode marshals an answer. An error would be a fault of the answer's type, and
// gives an internal error as the answer.
func encode(answer any) []byte {
	data, err := json.Marshal(answer)
	if err != nil {
		data, _ = json.Marshal(api.NewErrorAnswer("", result.Errorf(result.Internal, "%v", err)))
	}
	return data
}

// encodeQuery encodes a. If the result is larger than MaxAnswerBytes, the last hits
// are removed from a, which is marked as truncated and encoded again.
func (s *server) encodeQuery(a *api.QueryAnswer) []byte {
	if a.Hits == nil {
		a.Hits = []api.Hit{}
	}
	data := encode(a)
	if len(data) <= s.options.MaxAnswerBytes {
		return data
	}
	s.truncateHits(a)
	return encode(a)
}

func (s *server) truncateHits(a *api.QueryAnswer) {
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
