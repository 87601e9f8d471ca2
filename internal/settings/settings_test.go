package settings

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/strictjson"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestSettings(t *testing.T) { testsuite.RunSpecs(t, "settings") }

const validSettings = `{
  // Where this host is reached.
  "peer_address": "127.0.0.1:7400",
  "caller_address": "127.0.0.1:7401",
  "admin_address": "127.0.0.1:0",
  "data_centre": "Paysandú",
  "platform": ["http://127.0.0.1:7300"],
  "stop_timeout_ms": 9000, /* trailing comma: */
}
`

// expectedFault holds the fields of a fault that a table entry checks.
type expectedFault struct {
	code  result.Code
	line  int
	field string
}

var _ = Describe("Parse", func() {
	It("accepts comments and sets the defaults", func() {
		s, err := Parse("host.hujson", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(*s).To(Equal(Settings{
			PeerAddress:   "127.0.0.1:7400",
			CallerAddress: "127.0.0.1:7401",
			AdminAddress:  "127.0.0.1:0",
			DataCentre:    "Paysandú",
			Platform:      []string{"http://127.0.0.1:7300"},
			LogLevel:      DefaultLogLevel,
			BalancerLagMS: DefaultBalancerLagMS,
			StopTimeoutMS: 9000,
			StartWaitMS:   DefaultStartWaitMS,
		}))
	})

	DescribeTable("reports faults with file, line, field, reason and what is allowed",
		func(old, changed string, want ...expectedFault) {
			Expect(validSettings).To(ContainSubstring(old))
			_, err := Parse("host.hujson", []byte(strings.Replace(validSettings, old, changed, 1)))
			var faults strictjson.Faults
			Expect(errors.As(err, &faults)).To(BeTrue())
			got := make([]expectedFault, len(faults))
			for i, f := range faults {
				got[i] = expectedFault{f.Code, f.Line, f.Field}
				Expect(f.File).To(Equal("host.hujson"))
				Expect(f.Reason).NotTo(BeEmpty())
				Expect(f.Remedy).NotTo(BeEmpty())
				Expect(err.Error()).To(ContainSubstring(f.Reason))
			}
			Expect(got).To(Equal(want))
		},
		Entry("empty file", validSettings, "", expectedFault{result.SettingsSyntax, 1, ""}),
		Entry("truncated file", `"stop_timeout_ms": 9000, /* trailing comma: */`+"\n}\n", `"stop`, expectedFault{result.SettingsSyntax, 8, ""}),
		Entry("another kind of file", validSettings, "\x7fELF\x02", expectedFault{result.SettingsSyntax, 1, ""}),
		Entry("a list", validSettings, "[]", expectedFault{result.SettingsField, 1, ""}),
		Entry("deep nesting", `9000`, strings.Repeat("[", 200), expectedFault{result.SettingsSyntax, 0, ""}),
		Entry("unknown field", `"admin_address"`, `"admin_adress"`,
			expectedFault{result.SettingsValue, 1, "admin_address"}, expectedFault{result.SettingsField, 5, "admin_adress"}),
		Entry("case differs", `"platform"`, `"Platform"`,
			expectedFault{result.SettingsValue, 1, "platform"}, expectedFault{result.SettingsField, 7, "Platform"}),
		Entry("given twice", `"data_centre": "Paysandú"`, `"caller_address": "127.0.0.1:1", "data_centre": "Salto"`,
			expectedFault{result.SettingsField, 6, "caller_address"}),
		Entry("wrong types together", `"127.0.0.1:7400",
  "caller_address": "127.0.0.1:7401"`, `7400,
  "caller_address": ["127.0.0.1:7401"]`,
			expectedFault{result.SettingsField, 3, "peer_address"}, expectedFault{result.SettingsField, 4, "caller_address"}),
		Entry("number with a unit", `9000`, `"9s"`, expectedFault{result.SettingsField, 8, "stop_timeout_ms"}),
		Entry("fraction", `9000`, `0.5`, expectedFault{result.SettingsField, 8, "stop_timeout_ms"}),
		Entry("huge number", `9000`, `99999999999999999999`, expectedFault{result.SettingsField, 8, "stop_timeout_ms"}),
		Entry("null", `"Paysandú"`, `null`, expectedFault{result.SettingsField, 6, "data_centre"}),
		Entry("host name in an address", `127.0.0.1:7400`, `localhost:7400`, expectedFault{result.SettingsValue, 3, "peer_address"}),
		Entry("no port", `127.0.0.1:7401`, `127.0.0.1`, expectedFault{result.SettingsValue, 4, "caller_address"}),
		Entry("peers can't reach 0.0.0.0", `127.0.0.1:7400`, `0.0.0.0:7400`, expectedFault{result.SettingsValue, 3, "peer_address"}),
		Entry("one address for two listeners", `127.0.0.1:7401`, `127.0.0.1:7400`, expectedFault{result.SettingsValue, 4, "caller_address"}),
		Entry("platform with a path", `127.0.0.1:7300`, `127.0.0.1:7300/v1`, expectedFault{result.SettingsValue, 7, "platform[0]"}),
		Entry("platform by name", `http://127.0.0.1:7300`, `https://platform`, expectedFault{result.SettingsValue, 7, "platform[0]"}),
		Entry("no platform", `"http://127.0.0.1:7300"`, ``, expectedFault{result.SettingsValue, 7, "platform"}),
		Entry("peer with port 0", `"stop_`, `"peers": ["127.0.0.1:0"], "stop_`, expectedFault{result.SettingsValue, 8, "peers[0]"}),
		Entry("log level", `"stop_`, `"log_level": "loud", "stop_`, expectedFault{result.SettingsValue, 8, "log_level"}),
		Entry("negative", `"stop_`, `"balancer_lag_ms": -1, "stop_`, expectedFault{result.SettingsValue, 8, "balancer_lag_ms"}),
		Entry("no time to stop", `9000`, `5000`, expectedFault{result.SettingsValue, 8, "stop_timeout_ms"}),
	)

	It("names the file that can't be read", func() {
		_, err := Load("/nonexistent/host.hujson")
		var e *result.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Code).To(Equal(result.Unreachable))
	})
})
