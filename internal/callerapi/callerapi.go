// Package callerapi serves the caller API over HTTP. docs/API.md describes it.
//
// It validates requests and passes them to a [Handler]. A request that it refuses
// never reaches the handler, so the code of a refusal is of class not-run, except
// for result.Internal, which is returned if the read deadline cannot be set. When a
// caller disconnects, the context of its request is cancelled.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Handler handles the requests of callers. Its methods are called concurrently. ctx
// is cancelled when the caller disconnects.
type Handler interface {
	Query(ctx context.Context, q api.QueryRequest) api.QueryAnswer
	Permit(ctx context.Context, p api.PermitRequest) api.PermitAnswer
	Submit(ctx context.Context, s api.SubmitRequest) api.SubmitAnswer
	Status() api.StatusAnswer
}

// Defaults and fixed limits of the HTTP server.
const (
	DefaultBodyTimeout  = 5 * time.Second
	DefaultWriteTimeout = 10 * time.Second
	headerTimeout       = 5 * time.Second
	idleTimeout         = 2 * time.Minute
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes = 16 << 10
)

// Options limit the resources that a request may use. Zero values mean the defaults.
type Options struct {
	// MaxBodyBytes bounds the body of a request; the default is api.MaxBodyBytes.
	MaxBodyBytes int64
	// MaxAnswerBytes bounds the encoded hits of an answer; the default is
	// api.MaxAnswerBytes.
	MaxAnswerBytes int
	// BodyTimeout bounds the time to receive a body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time to send an answer, and so how slowly a caller
	// may read it.
	WriteTimeout time.Duration
	// OnRefused is called with the code of each request that this package refuses.
	// It may be nil.
	OnRefused func(result.Code)
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
	if o.OnRefused == nil {
		o.OnRefused = func(result.Code) {}
	}
	return o
}

// New returns the HTTP handler of the caller API.
func New(h Handler, o Options) (http.Handler, error) {
	s := &server{handler: h, options: o.withDefaults()}
	app := iris.New()
	app.Configure(iris.WithoutBanner, iris.WithoutPathCorrection, iris.WithoutInterruptHandler)
	app.Logger().SetLevel("disable")
	s.registerRoutes(app)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// NewServer returns an HTTP server for a handler from New, with limits on the
// header of a request and on idle connections.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

type server struct {
	handler Handler
	options Options
}

func (s *server) registerRoutes(app *iris.Application) {
	app.Any(api.PathQuery, s.allowMethod(http.MethodPost, s.query))
	app.Any(api.PathPermit, s.allowMethod(http.MethodPost, s.permit))
	app.Any(api.PathSubmit, s.allowMethod(http.MethodPost, s.submit))
	app.Any(api.PathStatus, s.allowMethod(http.MethodGet, s.status))
	app.Any(api.PathLive, s.allowMethod(http.MethodGet, s.live))
	app.Any(api.PathReady, s.allowMethod(http.MethodGet, s.ready))
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		s.refuseRoute(ctx, result.FieldErrorf(result.NotFound, "path", "%s does not exist", ctx.Path()))
	})
}

// allowMethod refuses requests with any other method. GET allows HEAD too.
func (s *server) allowMethod(method string, next iris.Handler) iris.Handler {
	return func(ctx iris.Context) {
		got := ctx.Method()
		if got == method || method == http.MethodGet && got == http.MethodHead {
			next(ctx)
			return
		}
		ctx.Header("Allow", method)
		s.refuseRoute(ctx, result.FieldErrorf(result.MethodNotAllowed, "method", "got %s, want %s", got, method))
	}
}

func (s *server) query(ctx iris.Context) {
	var q api.QueryRequest
	if err := s.readRequest(ctx, &q); err != nil {
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
	s.writeAnswer(ctx, a.Code, a.RequestID, s.encodeQuery(&a))
}

func (s *server) refuseQuery(ctx iris.Context, q api.QueryRequest, e *result.Error) {
	s.options.OnRefused(e.Code)
	q.RequestID = echoableID(requestID(ctx, q.RequestID))
	s.writeAnswer(ctx, e.Code, q.RequestID, encode(api.NewQueryErrorAnswer(q, e)))
}

func (s *server) permit(ctx iris.Context) {
	var p api.PermitRequest
	err := s.readRequest(ctx, &p)
	p.RequestID = requestID(ctx, p.RequestID)
	if err == nil {
		err = checkPermit(p)
	}
	if err != nil {
		s.options.OnRefused(err.Code)
		p.RequestID = echoableID(p.RequestID)
		s.writeAnswer(ctx, err.Code, p.RequestID, encode(api.NewPermitErrorAnswer(p, err)))
		return
	}
	a := s.handler.Permit(ctx.Request().Context(), p)
	a.RequestID = p.RequestID
	s.writeAnswer(ctx, a.Code, a.RequestID, encode(a))
}

func (s *server) submit(ctx iris.Context) {
	var r api.SubmitRequest
	err := s.readRequest(ctx, &r)
	r.RequestID = requestID(ctx, r.RequestID)
	if err == nil {
		err = checkSubmit(r)
	}
	if err != nil {
		s.options.OnRefused(err.Code)
		r.RequestID = echoableID(r.RequestID)
		s.writeAnswer(ctx, err.Code, r.RequestID, encode(api.NewSubmitErrorAnswer(r, err)))
		return
	}
	a := s.handler.Submit(ctx.Request().Context(), r)
	a.RequestID = r.RequestID
	s.writeAnswer(ctx, a.Code, a.RequestID, encode(a))
}

func (s *server) status(ctx iris.Context) {
	a := s.handler.Status()
	s.writeAnswerWithStatus(ctx, http.StatusOK, a.Code, requestID(ctx, ""), encode(a))
}

func (s *server) live(ctx iris.Context) {
	s.writeAnswerWithStatus(ctx, http.StatusOK, 0, "", encode(api.LiveAnswer{Live: true}))
}

func (s *server) ready(ctx iris.Context) {
	a := s.handler.Status()
	status := http.StatusOK
	if !a.Ready {
		status = http.StatusServiceUnavailable
	}
	s.writeAnswerWithStatus(ctx, status, a.Code, "", encode(a))
}

// refuseRoute answers a request whose path is unknown or doesn't allow its method.
func (s *server) refuseRoute(ctx iris.Context, e *result.Error) {
	s.options.OnRefused(e.Code)
	id := echoableID(requestID(ctx, ""))
	s.writeAnswer(ctx, e.Code, id, encode(api.NewErrorAnswer(id, e)))
}
