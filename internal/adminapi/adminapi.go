// Package adminapi serves the admin API over HTTP. docs/ADMIN-API.md describes it.
// The API is read-only and has a listener of its own, separate from the caller API.
package adminapi

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/api/admin"
	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Timeouts and limits of the HTTP server.
const (
	headerTimeout = 5 * time.Second
	writeTimeout  = 10 * time.Second
	idleTimeout   = time.Minute
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes = 16 << 10
)

// Source provides the state that the API shows. Its methods are called
// concurrently.
type Source interface {
	// Status returns the state of the control machine.
	Status() control.Status
	// View returns the published view; it is never nil.
	View() *view.View
	// EndpointRestrictions returns the reasons for which the coordinator of this
	// host sends endpoints less work or none.
	EndpointRestrictions() []EndpointRestriction
	// Permits returns the number of permits by service and state.
	Permits() admin.Permits
	// WriteMetrics writes the metrics in Prometheus text format.
	WriteMetrics(w io.Writer)
}

// EndpointRestriction is a reason, observed by this host's coordinator, to send an
// endpoint less work or none.
type EndpointRestriction struct {
	Endpoint string
	Code     result.Code
	Detail   string
	// TTL is the time after which the restriction ends unless it is observed again;
	// zero means that it does not end by itself.
	TTL time.Duration
}

// New returns the HTTP handler of the admin API.
func New(source Source) (http.Handler, error) {
	s := &server{source: source}
	app := iris.New()
	app.Configure(iris.WithoutBanner, iris.WithoutPathCorrection, iris.WithoutInterruptHandler, iris.WithoutStartupLog)
	app.Logger().SetLevel("disable")
	s.registerRoutes(app)
	if err := app.Build(); err != nil {
		return nil, eris.Wrap(err, "build admin routes")
	}
	return app, nil
}

// NewServer returns an HTTP server with timeouts, for a handler from New.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

type server struct{ source Source }

func (s *server) registerRoutes(app *iris.Application) {
	get := func(path string, body func() any) {
		app.Any(path, onlyGet(func(ctx iris.Context) { _ = ctx.JSON(body()) }))
	}
	get(admin.PathConfiguration, func() any { return configurationOf(s.source.Status(), s.source.View()) })
	get(admin.PathHosts, func() any { return hostsOf(s.source.Status()) })
	get(admin.PathEndpoints, func() any {
		return endpointsOf(s.source.Status(), s.source.View(), s.source.EndpointRestrictions())
	})
	get(admin.PathQuarantine, func() any { return quarantineOf(s.source.Status()) })
	get(admin.PathPermits, func() any { return s.source.Permits() })
	get(admin.PathReadiness, func() any { return readinessOf(s.source.Status()) })
	app.Any(admin.PathMetrics, onlyGet(s.metrics))
	app.Any(admin.PathLive, onlyGet(func(ctx iris.Context) { _, _ = ctx.WriteString("live\n") }))
	app.Any(admin.PathReady, onlyGet(s.ready))
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		refuse(ctx, http.StatusNotFound, result.NotFound, ctx.Path())
	})
}

// onlyGet refuses all methods but GET and HEAD.
func onlyGet(next iris.Handler) iris.Handler {
	return func(ctx iris.Context) {
		if ctx.Method() == http.MethodGet || ctx.Method() == http.MethodHead {
			next(ctx)
			return
		}
		ctx.Header("Allow", http.MethodGet)
		refuse(ctx, http.StatusMethodNotAllowed, result.MethodNotAllowed, ctx.Method())
	}
}

func refuse(ctx iris.Context, status int, code result.Code, detail string) {
	ctx.StatusCode(status)
	_ = ctx.JSON(admin.Error{Reason: reasonOf(code, detail)})
}

func (s *server) metrics(ctx iris.Context) {
	var text bytes.Buffer
	s.source.WriteMetrics(&text)
	ctx.ContentType("text/plain; version=0.0.4")
	_, _ = ctx.Write(text.Bytes())
}

// ready answers from the published view, so that it doesn't wait for the control
// goroutine.
func (s *server) ready(ctx iris.Context) {
	v := s.source.View()
	out := admin.Readiness{Ready: v.Ready}
	if !v.Ready {
		reason := reasonOf(v.Reason, "")
		out.Reason = &reason
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
	_ = ctx.JSON(out)
}
