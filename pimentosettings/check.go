// Package pimentosettings provides the checks that the settings of entries and gates
// share. Each returns nil, or an error with the field's name and, unless it is empty,
// its value.
package pimentosettings

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Required checks that a value isn't empty.
func Required(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s: a value is required", field)
	}
	return nil
}

// Address checks that a value has the form IP:port.
func Address(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: value %q: an address is IP:port", field, value)
	}
	return nil
}

// LogLevel checks that a value names a log level.
func LogLevel(value string) error {
	switch value {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fmt.Errorf("log: value %q: the levels are debug, info, warn and error", value)
}

// AtLeast checks that a number isn't below its lower limit.
func AtLeast[T cmp.Ordered](field string, value, limit T) error {
	if value < limit {
		return fmt.Errorf("%s: value %v: the lower limit is %v", field, value, limit)
	}
	return nil
}
