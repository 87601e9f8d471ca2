// Package defaults fills in options that were left at their zero value.
package defaults

// Set replaces a zero value by the fallback.
func Set[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
