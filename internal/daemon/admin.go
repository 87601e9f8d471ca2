package daemon

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/api/admin"
	"github.com/gypsumlug/gypsumlug/internal/adminapi"
	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// adminSource implements [adminapi.Source] on the state machines of a host.
type adminSource struct{ d *Daemon }

func (d *Daemon) adminHandler() (http.Handler, error) { return adminapi.New(adminSource{d}) }

// Status implements adminapi.Source.
func (s adminSource) Status() control.Status {
	var out control.Status
	s.d.control.call(s.d.ctx, func(now time.Duration) { out = s.d.control.machine.Status(now) })
	return out
}

// View implements adminapi.Source.
func (s adminSource) View() *view.View { return s.d.view.Load() }

// conditionCodes maps the conditions in which an endpoint gets less work or none
// to the result codes that the admin API shows.
var conditionCodes = map[endpoint.Condition]result.Code{
	endpoint.Overloaded: result.EndpointShed,
	endpoint.Probation:  result.ConnectFailed,
	endpoint.Ejected:    result.ConnectFailed,
	endpoint.Leaving:    result.EndpointLeaving,
}

// EndpointRestrictions implements adminapi.Source.
func (s adminSource) EndpointRestrictions() []adminapi.EndpointRestriction {
	ids := slices.Sorted(maps.Keys(s.View().Bundle.Endpoints()))
	var out []adminapi.EndpointRestriction
	s.d.coordinator.withLock(func(now time.Duration) {
		for _, id := range ids {
			condition := s.d.coordinator.machine.EndpointCondition(now, id)
			if code := conditionCodes[condition]; code != 0 {
				out = append(out, adminapi.EndpointRestriction{Endpoint: id, Code: code, Detail: condition.String()})
			}
		}
	})
	return out
}

// Permits implements adminapi.Source.
func (s adminSource) Permits() admin.Permits {
	var stats permit.Stats
	s.d.coordinator.withLock(func(time.Duration) { stats = s.d.coordinator.machine.PermitStats() })
	bundle := s.View().Bundle
	var out admin.Permits
	for _, name := range slices.Sorted(maps.Keys(bundle.Services())) {
		service := bundle.Service(name)
		if service.Repeatable {
			continue
		}
		n := stats.ByService[name]
		out.Services = append(out.Services, admin.ServicePermits{
			Service:    name,
			Limit:      service.Permit.Limit,
			Issued:     n[permit.Issued],
			Dispatched: n[permit.Submitted] + n[permit.Dispatched],
			Closed:     n[permit.Done] + n[permit.Failed] + n[permit.NotRun] + n[permit.Unknown],
		})
	}
	return out
}
