package pimentogate

import "testing"

// A service no longer counts as overloaded once its targets accept requests again.
func TestOverloadEnds(t *testing.T) {
	var ts trafficStats
	for n := 0; !ts.overloaded("s"); n++ {
		if n == 20 {
			t.Fatal("no overload after 20 refusals in a row")
		}
		ts.recordSend("s", true)
	}
	for n := 0; ts.overloaded("s"); n++ {
		if n == 20 {
			t.Fatal("still overloaded after 20 responses in a row")
		}
		ts.recordSend("s", false)
	}
}
