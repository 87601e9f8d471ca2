// Package testsuite gives every test of the project the same verdict each time
// by fixing the seeds of the test libraries. It is imported by tests only.
package testsuite

import (
	"flag"
	"strconv"
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

// CheckN is Check with another number of runs than the library's default, unless
// -rapid.checks is given.
func CheckN(t *testing.T, runs int, property func(*rapid.T)) {
	t.Helper()
	if !isSet("rapid.checks") {
		value := flag.Lookup("rapid.checks").Value // set directly: it is not given
		previous := value.String()
		mustSet(value, strconv.Itoa(runs))
		defer mustSet(value, previous)
	}
	Check(t, property)
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

func mustSet(value flag.Value, text string) {
	if err := value.Set(text); err != nil {
		panic(err)
	}
}

func isSet(name string) bool {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}
