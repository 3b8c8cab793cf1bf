// Package pimentosettings has the checks that settings of all kinds of entries
// share. Each returns nil, or an error with the field and its value.
package pimentosettings

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Required checks that a value is there.
func Required(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s: a value is required", field)
	}
	return nil
}

// Address checks that a value is an IP and a port.
func Address(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: value %q: an address is IP:port", field, value)
	}
	return nil
}

// LogLevel checks the least level that is logged.
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
