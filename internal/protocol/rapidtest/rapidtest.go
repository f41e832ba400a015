// Package rapidtest makes tests with random histories repeatable.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Run is for TestMain: it runs the tests with a seed for the random histories, which
// -rapid.seed overrides, and exits.
func Run(m *testing.M, seed uint64) {
	if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
