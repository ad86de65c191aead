// Package testkit sets the defaults of the property tests of all packages.
package testkit

import (
	"flag"
	"strconv"
)

// fixedSeed is the default seed of property tests. With a fixed seed every run has the same
// result. The flag -rapid.seed sets another one.
const fixedSeed = "20261202"

// SetRapidDefaults makes the property tests of this process use fixedSeed and the given number
// of checks. Flags that no longer have rapid's default value keep the value that they have.
func SetRapidDefaults(checks int) {
	setIfDefault("rapid.seed", "0", fixedSeed)
	setIfDefault("rapid.checks", "100", strconv.Itoa(checks))
}

// setIfDefault sets the flag if it still has its default value.
func setIfDefault(name, defaultValue, value string) {
	rapidFlag := flag.Lookup(name)
	if rapidFlag != nil && rapidFlag.Value.String() == defaultValue {
		// Set cannot fail, since both flags accept any integer.
		_ = flag.Set(name, value)
	}
}
