package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// explain prints the lines of all entries about a request in the order of time, each
// entry's preceded by its last state changes.
func TestExplainGolden(t *testing.T) {
	is := is.New(t)
	t.Chdir("testdata")
	want, err := os.ReadFile("explain.golden")
	is.NoErr(err)
	var out, errs bytes.Buffer
	is.Equal(run([]string{"explain", "--id", "r1", "e1.log", "e2.log"}, &out, &errs), exitOK)
	is.Equal(out.String(), string(want))
	is.Equal(run([]string{"explain", "--id", "none", "e1.log"}, &out, &errs), exitFailed)
	is.Equal(run([]string{"explain", "e1.log"}, &out, &errs), exitSettings)
	is.Equal(run([]string{"explain", "--id", "r1", filepath.Join("no", "such")}, &out, &errs), exitFailed)
}
