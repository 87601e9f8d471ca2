package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api/admin"
)

// adminReplies are the replies of a fake admin API by path.
var adminReplies = map[string]any{
	admin.PathConfiguration: admin.Configuration{
		Revision: 7, Fleet: []admin.FleetRevision{{Revision: 7, Hosts: 19}, {Revision: 6, Hosts: 1}},
		Refusals: []admin.Refusal{{Reason: admin.Reason{Code: 612, Name: "manifest-older"}, Count: 3}},
	},
	admin.PathReadiness: admin.Readiness{Reason: &admin.Reason{Code: 312, Name: "stopping"}},
	admin.PathHosts: admin.Hosts{Hosts: []admin.Host{
		{Address: "10.0.0.1:7400", Self: true, Alive: true},
		{Address: "10.0.0.2:7400", State: "leaving", AgeMS: 1500},
	}},
	admin.PathEndpoints: admin.Endpoints{Endpoints: []admin.Endpoint{
		{ID: "stock.1", Service: "stock"},
		{ID: "stock.2", Service: "stock", Out: []admin.OutReason{{Reason: admin.Reason{Code: 332, Name: "endpoint-leaving"}, TTLMS: 900}}},
		{ID: "orders.1", Service: "orders"},
	}},
	admin.PathQuarantine: admin.Quarantine{Requests: []admin.Suspect{{Fingerprint: "ff01", Degree: "suspected"}}},
	admin.PathPermits:    admin.Permits{Services: []admin.ServicePermits{{Service: "orders", Limit: 48000, Dispatched: 2}}},
}

// startServer starts an HTTP server and returns its address.
func startServer(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

var _ = Describe("A command that reads the admin API", func() {
	DescribeTable("prints a table, or JSON",
		func(want, without []string, args ...string) {
			address := startServer(func(w http.ResponseWriter, r *http.Request) {
				_ = json.NewEncoder(w).Encode(adminReplies[r.URL.Path])
			})
			args = append(args, "--admin", address)
			exit, stdout, stderr := execute(args...)
			Expect(exit).To(Equal(0), stderr)
			for _, text := range want {
				Expect(stdout).To(ContainSubstring(text))
			}
			for _, text := range without {
				Expect(stdout).NotTo(ContainSubstring(text))
			}
			exit, stdout, _ = execute(append(args, "--output", "json")...)
			Expect(exit).To(Equal(0))
			Expect(json.Valid([]byte(stdout))).To(BeTrue())
		},
		Entry("configuration", []string{"no: 312 stopping", "19 hosts have revision 7", "1 hosts have revision 6", "3 times: 612 manifest-older"}, nil, "config", "status"),
		Entry("fleet", []string{"this host", "leaving", "1500 ms ago"}, nil, "fleet"),
		Entry("endpoints", []string{"stock.1", "stock.2", "orders.1", "332 endpoint-leaving (900 ms left)"}, nil, "endpoints"),
		Entry("endpoints that are out", []string{"stock.2"}, []string{"stock.1", "orders.1"}, "endpoints", "--out"),
		Entry("endpoints of a service", []string{"orders.1"}, []string{"stock.1"}, "endpoints", "--service", "orders"),
		Entry("quarantine", []string{"ff01"}, nil, "quarantine"),
		Entry("permits", []string{"48000"}, nil, "permits"),
	)

	DescribeTable("reports a reply that is not an answer of the admin API",
		func(status int, body string, exit int, text string) {
			address := startServer(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
			})
			got, _, stderr := execute("fleet", "--admin", address)
			Expect(got).To(Equal(exit))
			Expect(stderr).To(ContainSubstring(text))
		},
		Entry("a refusal", http.StatusNotFound, `{"code":326,"name":"not-found","meaning":"The path does not exist."}`, 3, "326 not-found"),
		Entry("another program's refusal", http.StatusForbidden, "<html>", 6, "is not an admin API"),
		Entry("another program's page", http.StatusOK, "<html>", 6, "is not an admin API"),
		Entry("a truncated answer", http.StatusOK, `{"hosts":[`, 6, "is not an admin API"),
	)

	It("reports an unreachable host and an invalid address", func() {
		exit, _, stderr := execute("config", "status", "--admin", "127.0.0.1:1")
		Expect(exit).To(Equal(6))
		Expect(stderr).To(ContainSubstring("631 unreachable"))
		exit, _, stderr = execute("config", "status", "--admin", "localhost:1")
		Expect(exit).To(Equal(6))
		Expect(stderr).To(ContainSubstring("630 usage"))
	})
})

var _ = It("The standin command needs no workload if a configuration directory is given", func() {
	exit, _, stderr := execute("standin", "--configuration", GinkgoT().TempDir())
	Expect(exit).To(Equal(6))
	Expect(stderr).To(ContainSubstring("631 unreachable"))
})
