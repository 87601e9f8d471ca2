// Package defaults sets options to default values.
package defaults

// Set sets *value to fallback if it is the zero value of its type.
func Set[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
