package adminapi_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api/admin"
	"github.com/gypsumlug/gypsumlug/internal/adminapi"
	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func TestAdminAPI(t *testing.T) { testsuite.RunSpecs(t, "adminapi") }

// fleetSource is a Source for one host of a simulated fleet.
type fleetSource struct {
	fleet *controlfleet.Fleet
	host  *controlfleet.Host
}

func (s fleetSource) Status() control.Status { return s.fleet.Status(s.host) }
func (s fleetSource) View() *view.View       { return s.host.View }
func (fleetSource) EndpointRestrictions() []adminapi.EndpointRestriction {
	return []adminapi.EndpointRestriction{{Endpoint: "service-1-0", Code: result.ConnectFailed, Detail: "refused", TTL: time.Second}}
}

func (fleetSource) Permits() admin.Permits {
	return admin.Permits{Services: []admin.ServicePermits{{Service: "billing", Limit: 10, Issued: 1}}}
}
func (fleetSource) WriteMetrics(w io.Writer) { _, _ = io.WriteString(w, "gypsumlug_up 1\n") }

func newHandler() (http.Handler, fleetSource) {
	f := controlfleet.New(6, 2, 1)
	shape := controlfleet.Shape{Services: 2, Endpoints: 4, Centres: 2}
	f.Platform.Publish(shape.Build(3, 0))
	f.StartAll(time.Second)
	f.Run(30*time.Second, nil)
	s := fleetSource{fleet: f, host: f.Hosts[0]}
	handler, err := adminapi.New(s)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return handler, s
}

func serveRequest(handler http.Handler, method, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
	return recorder
}

// getJSON decodes the JSON body of a path. It fails on fields that into lacks.
func getJSON(handler http.Handler, path string, into any) {
	r := serveRequest(handler, http.MethodGet, path)
	ExpectWithOffset(1, r.Code).To(Equal(http.StatusOK))
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	ExpectWithOffset(1, decoder.Decode(into)).To(Succeed())
}

var _ = It("shows the configuration of this host and the revisions of the fleet", func() {
	handler, s := newHandler()
	s.fleet.Platform.Publish(controlfleet.Shape{Services: 2, Endpoints: 4, Centres: 2}.Build(2, 0))
	s.fleet.Run(5*time.Minute, nil)
	var c admin.Configuration
	getJSON(handler, admin.PathConfiguration, &c)
	Expect(c.Revision).To(Equal(uint64(3)))
	Expect(c.Fleet).To(Equal([]admin.FleetRevision{{Revision: 3, Hosts: 6}}))
	Expect(c.Services).To(Equal([]string{"service-0", "service-1"}))
	Expect(c.PlatformUp).To(BeTrue())
	Expect(c.Refusals).To(HaveLen(1))
	Expect(c.Refusals[0].Name).To(Equal("manifest-older"))
	Expect(c.LastRefusal.Detail).To(ContainSubstring("revision 3 is in force"))
})

var _ = It("shows all hosts, this one first", func() {
	handler, s := newHandler()
	s.fleet.Leave(s.fleet.Hosts[1])
	s.fleet.Stop(s.fleet.Hosts[2])
	s.fleet.Run(3*time.Minute, nil)
	var hosts admin.Hosts
	getJSON(handler, admin.PathHosts, &hosts)
	Expect(hosts.Hosts).To(HaveLen(6))
	Expect(hosts.Hosts[0].Self).To(BeTrue())
	states := make(map[string]admin.Host)
	for _, h := range hosts.Hosts {
		states[h.Address] = h
	}
	Expect(states[s.fleet.Hosts[1].Address].State).To(Equal("leaving"))
	Expect(states[s.fleet.Hosts[2].Address].Alive).To(BeFalse())
	Expect(states[s.fleet.Hosts[3].Address]).To(And(HaveField("Alive", true), HaveField("State", "ready"), HaveField("Revision", uint64(3))))
})

var _ = It("shows the endpoints and why they get no work", func() {
	handler, s := newHandler()
	s.fleet.Observe(s.host, view.Observation{LeavingEndpoint: "service-0-1"})
	var e admin.Endpoints
	getJSON(handler, admin.PathEndpoints, &e)
	Expect(e.Endpoints).To(HaveLen(4))
	Expect(e.Endpoints[0].Out).To(BeEmpty())
	Expect(e.Endpoints[0].Relays).NotTo(BeEmpty())
	Expect(e.Endpoints[1].ID).To(Equal("service-0-1"))
	Expect(e.Endpoints[1].Out[0].Name).To(Equal("endpoint-leaving"))
	Expect(e.Endpoints[1].Out[0].TTLMS).To(Equal(control.LeavingTTL.Milliseconds()))
	Expect(e.Endpoints[2].Out[0].Detail).To(Equal("refused"))
})

var _ = It("shows quarantine, permits, readiness and metrics", func() {
	handler, s := newHandler()
	s.fleet.Observe(s.host, view.Observation{Crash: &view.Crash{Endpoint: "service-0-1", InFlight: []view.Fingerprint{255}}})
	var q admin.Quarantine
	getJSON(handler, admin.PathQuarantine, &q)
	Expect(q.Requests).To(Equal([]admin.Suspect{{Fingerprint: "ff", Degree: "suspected"}}))
	var p admin.Permits
	getJSON(handler, admin.PathPermits, &p)
	Expect(p.Services[0].Issued).To(Equal(1))
	var r admin.Readiness
	getJSON(handler, admin.PathReadiness, &r)
	Expect(r).To(Equal(admin.Readiness{Ready: true}))
	Expect(serveRequest(handler, http.MethodGet, admin.PathMetrics).Body.String()).To(Equal("gypsumlug_up 1\n"))
	Expect(serveRequest(handler, http.MethodGet, admin.PathReady).Code).To(Equal(http.StatusOK))
	s.fleet.Leave(s.host)
	ready := serveRequest(handler, http.MethodGet, admin.PathReady)
	Expect(ready.Code).To(Equal(http.StatusServiceUnavailable))
	Expect(ready.Body.String()).To(ContainSubstring("stopping"))
	Expect(serveRequest(handler, http.MethodGet, admin.PathLive).Code).To(Equal(http.StatusOK))
})

var _ = DescribeTable("refused requests",
	func(method, path string, status int, code result.Code) {
		handler, _ := newHandler()
		r := serveRequest(handler, method, path)
		Expect(r.Code).To(Equal(status))
		var e admin.Error
		Expect(json.Unmarshal(r.Body.Bytes(), &e)).To(Succeed())
		Expect(e.Code).To(Equal(int(code)))
	},
	Entry("a write to the configuration", http.MethodPost, admin.PathConfiguration, http.StatusMethodNotAllowed, result.MethodNotAllowed),
	Entry("a delete of a host", http.MethodDelete, admin.PathHosts, http.StatusMethodNotAllowed, result.MethodNotAllowed),
	Entry("a write to the quarantine", http.MethodPut, admin.PathQuarantine, http.StatusMethodNotAllowed, result.MethodNotAllowed),
	Entry("an unknown path", http.MethodGet, "/admin/v1/nothing", http.StatusNotFound, result.NotFound),
)
