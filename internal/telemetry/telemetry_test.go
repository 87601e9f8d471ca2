package telemetry_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestTelemetry(t *testing.T) { testsuite.RunSpecs(t, "telemetry") }

var _ = Describe("log", func() {
	It("writes one line of key=value pairs an event", func() {
		var out bytes.Buffer
		log := telemetry.NewLogger(&out, "info")
		log.Info().Str("address", "127.0.0.1:1").Bool("ready", false).Int("n", 3).Str("why", "two words\nand more").Msg("an event")
		log.Debug().Msg("below the level")
		_, pairs, _ := strings.Cut(strings.TrimSuffix(out.String(), "\n"), " ")
		Expect(pairs).To(Equal(`level=info message="an event" address=127.0.0.1:1 n=3 ready=false why="two words\nand more"`))
	})
})

var _ = Describe("counters", func() {
	It("count each code of a family apart", func() {
		c := telemetry.NewCounters()
		c.Code(telemetry.FamilyRetries, result.EndpointShed)
		c.Code(telemetry.FamilyRetries, result.EndpointShed)
		c.Code(telemetry.FamilyRefusals, result.EndpointShed)
		Expect(c.Value(telemetry.FamilyRetries, result.EndpointShed)).To(BeEquivalentTo(2))
		var out bytes.Buffer
		c.Write(&out)
		Expect(out.String()).To(ContainSubstring(`gypsumlug_retries_total{code="331",reason="endpoint-shed"} 2`))
	})
})
