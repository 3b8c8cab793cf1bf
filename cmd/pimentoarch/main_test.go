package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Each command line returns the expected exit status and prints the expected text. A
// usage or settings error is a single line.
func TestRun(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	cases := []struct {
		argv   []string
		status int
		want   string
	}{
		{nil, exitSettings, "a command is required"},
		{[]string{"entry"}, exitSettings, "--settings is required"},
		{[]string{"entry", "--settings", filepath.Join(dir, "none")}, exitSettings, "no such file"},
		{[]string{"entry", "--settings", write("unknown.json", `{"nam": "x"}`)}, exitSettings, `unknown field "nam"`},
		{[]string{"entry", "--settings", write("empty.json", `{}`)}, exitSettings, "name: a value is required"},
		{[]string{"entry", "--settings", write("address.json", `{"name":"e","region":"r","domain":"d","callers":"x"}`)}, exitSettings, `callers: value "x": an address is IP:port`},
		{[]string{"check", write("bad.json", `{"regions":[{"name":"r"}]}`)}, exitFailed, "regions[0].domains: value null: a region needs a failure domain"},
		{[]string{"check", write("large.json", strings.Repeat(" ", 1<<20+1))}, exitFailed, "the limit is 1048576"},
		{[]string{"check", "../../examples/atriles/config.json"}, exitOK, "no errors"},
		{[]string{"status", "127.0.0.1:1"}, exitFailed, "status of 127.0.0.1:1"},
		{[]string{"--help"}, exitOK, "run an entry"},
	}
	for _, c := range cases {
		var stdout, stderr bytes.Buffer
		status := run(c.argv, &stdout, &stderr)
		text := stdout.String() + stderr.String()
		if status != c.status || !strings.Contains(text, c.want) {
			t.Errorf("%v: status %d, %q, want %d, %q", c.argv, status, text, c.status, c.want)
		}
		if status == exitSettings && strings.Count(text, "\n") != 1 {
			t.Errorf("%v: %q isn't one line", c.argv, text)
		}
	}
}
