package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentoarch/pimentogate"
)

// The page has the counts of request outcomes and the activation times of configurations,
// and refers to no external resources. Values from logs are escaped.
func TestReport(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	lines := []string{
		`ts=2026-01-01T00:00:00.1Z msg="configuration in force" version=7 routes=2`,
		`ts=2026-01-01T00:00:00.5Z msg="request ended" id=a status=200 ms=12`,
		`ts=2026-01-01T00:00:02.5Z msg="request ended" id=b status=503 reason=busy ran=no ms=40`,
		`ts=2026-01-01T00:00:02.6Z msg="request ended" id=c status=503 reason=busy ran=no ms=60`,
		`ts=2026-01-01T00:00:02.7Z msg="request ended" id=d status=503 reason="<script>x</script>" ran=no ms=none`,
		`not a line of a log`,
	}
	e1, e2 := filepath.Join(dir, "e1.log"), filepath.Join(dir, "e2.log")
	is.NoErr(os.WriteFile(e1, []byte(strings.Join(lines, "\n")), 0o600))
	is.NoErr(os.WriteFile(e2, []byte(`ts=2026-01-01T00:00:00.35Z msg="configuration in force" version=7`), 0o600))
	out := filepath.Join(dir, "page.html")
	var stdout, stderr bytes.Buffer
	is.Equal(run([]string{"report", "--out", out, e1, e2}, &stdout, &stderr), exitOK)
	data, err := os.ReadFile(out)
	is.NoErr(err)
	text := string(data)
	for _, want := range []string{
		`<td>503<td>busy<td>no<td class="n">2<td class="n">40<td class="n">60`,
		`<td>200<td>passed on<td><td class="n">1<td class="n">12`,
		`<td>7<td>00:00:00.100<td class="n">2<td class="n">250ms`,
		"<p>6 lines from 2026-01-01 00:00:00.100Z to 00:00:02.700Z.",
		"Refused by reason",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
	for _, bad := range []string{"<script", "src=", "<link"} {
		if strings.Contains(text, bad) {
			t.Errorf("the page has %s", bad)
		}
	}
	is.Equal(run([]string{"report", "--out", out, filepath.Join(dir, "none")}, &stdout, &stderr), exitFailed)
}

// printGate prints the name, the state, the keys, the domains out of service and the targets
// of a gate's status.
func TestPrintGate(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	body := `{"name":"g1","ready":true,"version":7,"asof":12,"age":40,"reads":true,"entries":3,"domain":2,
		"targets":{"seats":[{"id":"i-1","address":"10.0.0.1:80","domain":"a1","cold":true,"failing":0.25,"sending":2}]},"out":["a2"],
		"organisations":81,"keysage":5200,"keyslimit":4500,"keysrefused":true}`
	is.Equal(printGate(&stdout, &stderr, "10.0.0.9:9300", []byte(body)), exitOK)
	for _, want := range []string{
		"g1: configuration 7, ready true, items of revision 12 known 40 ms ago, reads the platform true, 3 entries, 2 in the own domain",
		"81 organisations, keys known 5200 ms ago, limit 4500 ms, refused true\n",
		"failure domain a2 is out of service",
		"seats    i-1     a1      10.0.0.1:80  true  false    0.25     2",
	} {
		if !strings.Contains(stdout.String(), want) {
			t.Errorf("%q lacks %q", stdout.String(), want)
		}
	}
}

// Where no organisation is configured, nothing is said of keys; without a limit their age
// doesn't matter, and an unknown age isn't shown as a number.
func TestPrintKeys(t *testing.T) {
	is := is.New(t)
	for want, st := range map[string]pimentogate.Status{
		"": {KeysAgeMillis: -1},
		"2 organisations, no limit of the age of keys\n":                        {Organisations: 2, KeysAgeMillis: -1},
		"2 organisations, age of keys unknown, limit 4500 ms, refused true\n":   {Organisations: 2, KeysAgeMillis: -1, KeysLimitMillis: 4500, KeysRefused: true},
		"2 organisations, keys known 12 ms ago, limit 4500 ms, refused false\n": {Organisations: 2, KeysAgeMillis: 12, KeysLimitMillis: 4500},
	} {
		var out bytes.Buffer
		printKeys(&out, &st)
		is.Equal(out.String(), want)
	}
}
