// Package testsuite gives every test of the project the same verdict each time
// by fixing the seeds of the test libraries. It is imported by tests only.
package testsuite

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// specSeed orders Ginkgo specs when -ginkgo.seed is not given.
const specSeed = 1

// Check runs a rapid property with the fixed seed, unless -rapid.seed is given.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	setDefault("rapid.seed", "1")
	setDefault("rapid.nofailfile", "true")
	rapid.Check(t, property)
}

// RunSpecs runs the Ginkgo specs of a package in a fixed order.
func RunSpecs(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	if !isSet("ginkgo.seed") {
		suite.RandomSeed = specSeed
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}

func setDefault(name, value string) {
	if isSet(name) {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

func isSet(name string) bool {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}
