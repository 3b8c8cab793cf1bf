package pimentopeer_test

import (
	"fmt"

	"pimentoarch/pimentopeer"
)

// A change log returns the changes after a peer's cursor.
func ExampleChangeLog() {
	var log pimentopeer.ChangeLog
	to := pimentopeer.Recipient{Region: "west", SameRegion: true, MaxChanges: 10}
	log.Add(pimentopeer.Change{Service: "charts", Target: "charts-1"}, pimentopeer.OriginSelf)
	changes, cursor := log.Since(0, to)
	fmt.Println(len(changes), changes[0].Target)
	changes, _ = log.Since(cursor, to)
	fmt.Println(len(changes))
	// Output:
	// 1 charts-1
	// 0
}
