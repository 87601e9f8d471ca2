// Package callerapi serves the caller API over HTTP. docs/API.md describes it.
//
// It checks the form of requests and passes them to a [Handler]. A request that
// it refuses never reached the handler, so its codes are all of class not-run.
// When a caller hangs up, the context of its request is cancelled.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Handler carries out the requests of callers. Its methods are called from many
// goroutines; ctx ends when the caller hangs up.
type Handler interface {
	Query(ctx context.Context, q api.QueryRequest) api.QueryAnswer
	Permit(ctx context.Context, p api.PermitRequest) api.PermitAnswer
	Submit(ctx context.Context, s api.SubmitRequest) api.SubmitAnswer
	Status() api.StatusAnswer
}

// Defaults and fixed bounds of the HTTP server.
const (
	DefaultBodyTimeout  = 5 * time.Second
	DefaultWriteTimeout = 10 * time.Second
	headerTimeout       = 5 * time.Second
	idleTimeout         = 2 * time.Minute
	maxHeaderBytes      = 16 << 10
)

// Options bound what callers may cost. Zero values mean the defaults.
type Options struct {
	// MaxBodyBytes bounds the body of a request; the default is api.MaxBodyBytes.
	MaxBodyBytes int64
	// MaxAnswerBytes bounds the hits of an answer; the default is
	// api.MaxAnswerBytes.
	MaxAnswerBytes int
	// BodyTimeout bounds the time that a body may take to arrive.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time that a caller may take to read its answer.
	WriteTimeout time.Duration
	// Refused is called with the code of each request that this package refuses;
	// it may be nil.
	Refused func(result.Code)
}

func (o Options) withDefaults() Options {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = api.MaxBodyBytes
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = api.MaxAnswerBytes
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.Refused == nil {
		o.Refused = func(result.Code) {}
	}
	return o
}

// New returns the HTTP handler of the caller API.
func New(h Handler, o Options) (http.Handler, error) {
	s := &server{handler: h, options: o.withDefaults()}
	app := iris.New()
	app.Configure(iris.WithoutBanner, iris.WithoutPathCorrection, iris.WithoutInterruptHandler)
	app.Logger().SetLevel("disable")
	s.routes(app)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// NewServer returns an HTTP server that bounds slow callers. Its handler comes
// from New.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

type server struct {
	handler Handler
	options Options
}

func (s *server) routes(app *iris.Application) {
	app.Any(api.PathQuery, s.only(http.MethodPost, s.query))
	app.Any(api.PathPermit, s.only(http.MethodPost, s.permit))
	app.Any(api.PathSubmit, s.only(http.MethodPost, s.submit))
	app.Any(api.PathStatus, s.only(http.MethodGet, s.status))
	app.Any(api.PathLive, s.only(http.MethodGet, s.live))
	app.Any(api.PathReady, s.only(http.MethodGet, s.ready))
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		s.refuse(ctx, result.FieldErrorf(result.NotFound, "path", "%s does not exist", ctx.Path()))
	})
}

// only refuses other methods than the given one. GET includes HEAD.
func (s *server) only(method string, next iris.Handler) iris.Handler {
	return func(ctx iris.Context) {
		got := ctx.Method()
		if got == method || method == http.MethodGet && got == http.MethodHead {
			next(ctx)
			return
		}
		ctx.Header("Allow", method)
		s.refuse(ctx, result.FieldErrorf(result.MethodNotAllowed, "method", "got %s, want %s", got, method))
	}
}

func (s *server) query(ctx iris.Context) {
	var q api.QueryRequest
	if err := s.read(ctx, &q); err != nil {
		s.refuseQuery(ctx, q, err)
		return
	}
	q.RequestID = requestID(ctx, q.RequestID)
	if err := checkQuery(q); err != nil {
		s.refuseQuery(ctx, q, err)
		return
	}
	a := s.handler.Query(ctx.Request().Context(), q)
	a.RequestID = q.RequestID
	s.write(ctx, a.Code, a.RequestID, s.encodeQuery(&a))
}

func (s *server) refuseQuery(ctx iris.Context, q api.QueryRequest, e *result.Error) {
	s.options.Refused(e.Code)
	q.RequestID = echoable(requestID(ctx, q.RequestID))
	s.write(ctx, e.Code, q.RequestID, encode(api.NewQueryErrorAnswer(q, e)))
}

func (s *server) permit(ctx iris.Context) {
	var p api.PermitRequest
	err := s.read(ctx, &p)
	p.RequestID = requestID(ctx, p.RequestID)
	if err == nil {
		err = checkPermit(p)
	}
	if err != nil {
		s.options.Refused(err.Code)
		p.RequestID = echoable(p.RequestID)
		s.write(ctx, err.Code, p.RequestID, encode(api.NewPermitErrorAnswer(p, err)))
		return
	}
	a := s.handler.Permit(ctx.Request().Context(), p)
	a.RequestID = p.RequestID
	s.write(ctx, a.Code, a.RequestID, encode(a))
}

func (s *server) submit(ctx iris.Context) {
	var r api.SubmitRequest
	err := s.read(ctx, &r)
	r.RequestID = requestID(ctx, r.RequestID)
	if err == nil {
		err = checkSubmit(r)
	}
	if err != nil {
		s.options.Refused(err.Code)
		r.RequestID = echoable(r.RequestID)
		s.write(ctx, err.Code, r.RequestID, encode(api.NewSubmitErrorAnswer(r, err)))
		return
	}
	a := s.handler.Submit(ctx.Request().Context(), r)
	a.RequestID = r.RequestID
	s.write(ctx, a.Code, a.RequestID, encode(a))
}

func (s *server) status(ctx iris.Context) {
	a := s.handler.Status()
	s.writeStatus(ctx, http.StatusOK, a.Code, requestID(ctx, ""), encode(a))
}

func (s *server) live(ctx iris.Context) {
	s.writeStatus(ctx, http.StatusOK, 0, "", encode(api.LiveAnswer{Live: true}))
}

func (s *server) ready(ctx iris.Context) {
	a := s.handler.Status()
	status := http.StatusOK
	if !a.Ready {
		status = http.StatusServiceUnavailable
	}
	s.writeStatus(ctx, status, a.Code, "", encode(a))
}

// refuse answers a request of no known path or method.
func (s *server) refuse(ctx iris.Context, e *result.Error) {
	s.options.Refused(e.Code)
	id := echoable(requestID(ctx, ""))
	s.write(ctx, e.Code, id, encode(api.NewErrorAnswer(id, e)))
}
