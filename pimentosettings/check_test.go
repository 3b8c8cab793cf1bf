package pimentosettings

import (
	"cmp"
	"testing"

	"github.com/matryer/is"
)

// TestChecks checks that each error has the field's name and its value, and that cmp.Or
// returns the first error.
func TestChecks(t *testing.T) {
	is := is.New(t)
	is.NoErr(cmp.Or(Required("name", "e"), Address("peers", "10.0.0.1:7"), LogLevel("warn"), AtLeast("grace", 1, 1)))
	is.Equal(Required("name", "").Error(), "name: a value is required")
	is.Equal(Address("peers", "host:7").Error(), `peers: value "host:7": an address is IP:port`)
	is.Equal(LogLevel("loud").Error(), `log: value "loud": the levels are debug, info, warn and error`)
	is.Equal(AtLeast("drain", int64(-20_000_000), 1).Error(), "drain: value -20000000: the lower limit is 1")
	is.Equal(AtLeast("window", 0.05, 0.1).Error(), "window: value 0.05: the lower limit is 0.1")
	is.Equal(cmp.Or(Required("name", "e"), LogLevel("loud"), LogLevel("quiet")), LogLevel("loud"))
}
