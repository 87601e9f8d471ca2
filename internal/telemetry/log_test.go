package telemetry

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

func TestLogLineIsKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(keyValueWriter(&out))
	log.Info().Bool("ready", true).Int("revision", 7).Strs("hosts", []string{"a", "b"}).Dict("at", zerolog.Dict().Int("x", 1)).
		Str("empty", "").Str("forged", "x\nlevel=error").Err(errors.New("a \"b\" c")).Msg("in force")
	NewWithT(t).Expect(out.String()).To(Equal(`time=<nil> level=info message="in force" error="a \"b\" c" at="{\"x\":1}" empty="" ` +
		`forged="x\nlevel=error" hosts="[\"a\",\"b\"]" ready=true revision=7` + "\n"))
}
