//go:build tools

// Package internal pins libraries.
package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/invopop/jsonschema"
	_ "github.com/jedib0t/go-pretty/v6/table"
	_ "github.com/kataras/iris/v12"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/rotisserie/eris"
	_ "github.com/rs/zerolog"
	_ "github.com/tailscale/hujson"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
