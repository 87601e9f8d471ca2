package telemetry_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestTelemetry(t *testing.T) { testsuite.RunSpecs(t, "telemetry") }

var _ = Describe("counters", func() {
	It("count each code of a family separately", func() {
		c := telemetry.NewCounters()
		c.IncCode(telemetry.FamilyRetries, result.EndpointShed)
		c.IncCode(telemetry.FamilyRetries, result.EndpointShed)
		c.IncCode(telemetry.FamilyRefusals, result.EndpointShed)
		Expect(c.CodeCount(telemetry.FamilyRetries, result.EndpointShed)).To(BeEquivalentTo(2))
		var out bytes.Buffer
		c.Write(&out)
		Expect(out.String()).To(ContainSubstring(`gypsumlug_retries_total{code="331",reason="endpoint-shed"} 2`))
	})
})
