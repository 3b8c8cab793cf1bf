package pimentopeer_test

import (
	"fmt"

	"pimentoarch/pimentopeer"
)

// A journal tells a peer what has changed since its cursor.
func ExampleChangeLog() {
	var j pimentopeer.ChangeLog
	a := pimentopeer.Recipient{Region: "west", SameRegion: true, MaxChanges: 10}
	j.Add(pimentopeer.Change{Service: "charts", Target: "charts-1"}, pimentopeer.OriginSelf)
	changes, cursor := j.Since(0, a)
	fmt.Println(len(changes), changes[0].Target)
	changes, _ = j.Since(cursor, a)
	fmt.Println(len(changes))
	// Output:
	// 1 charts-1
	// 0
}
