// Package testsuite makes tests reproducible by fixing the seeds of the test
// libraries, and contains helpers that tests of several packages share. It is
// imported only by tests.
package testsuite

import (
	"flag"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// defaultSpecSeed determines the order of Ginkgo specs if -ginkgo.seed is not
// given.
const defaultSpecSeed = 1

// Check tests a rapid property with a fixed seed, unless -rapid.seed is given.
// No failure files are written, unless -rapid.nofailfile is given as false.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	setFlagDefault("rapid.seed", "1")
	setFlagDefault("rapid.nofailfile", "true")
	rapid.Check(t, property)
}

// CheckN is like Check, but tests the property with runs inputs instead of the
// default number of the library, unless -rapid.checks is given.
func CheckN(t *testing.T, runs int, property func(*rapid.T)) {
	t.Helper()
	if !isFlagSet("rapid.checks") {
		value := flag.Lookup("rapid.checks").Value // Not flag.Set, which would mark the flag as given.
		previous := value.String()
		mustSetFlag(value, strconv.Itoa(runs))
		defer mustSetFlag(value, previous)
	}
	Check(t, property)
}

// RunSpecs runs the Ginkgo specs of a package in a fixed order, unless
// -ginkgo.seed is given.
func RunSpecs(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	if !isFlagSet("ginkgo.seed") {
		suite.RandomSeed = defaultSpecSeed
	}
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// setFlagDefault sets a command-line flag that was not given.
func setFlagDefault(name, value string) {
	if isFlagSet(name) {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

func mustSetFlag(value flag.Value, text string) {
	if err := value.Set(text); err != nil {
		panic(err)
	}
}

// isFlagSet reports whether a flag was given on the command line or set with
// flag.Set.
func isFlagSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
