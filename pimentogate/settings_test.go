package pimentogate

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `{
  "name": "e1", "domain": "a1", "regions": {"a1": "a"},
  "callers": "10.0.0.1:80", "ready": "10.0.0.1:81", "peers": "10.0.0.1:82", "admin": "10.0.0.1:83",
  "platform": ["10.0.0.9:90"], "grace": "6s", "window": "10s", "unknown": 5
}`

func TestSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings([]byte(validSettings))
	is.NoErr(err)
	is.Equal(time.Duration(s.GracePeriod), 6*time.Second)
	is.Equal(string(s.Region()), "a")
	is.Equal(s.LogLineRate, DefaultSettings().LogLineRate)
}

// The error of each invalid value names its field.
func TestInvalidSettings(t *testing.T) {
	for _, tc := range []struct{ old, changed, field string }{
		{`"name": "e1"`, `"name": ""`, "name"},
		{`"domain": "a1"`, `"domain": "b1"`, "domain"},
		{`10.0.0.1:80`, `host:80`, "callers"},
		{`10.0.0.1:83`, `10.0.0.1`, "admin"},
		{`["10.0.0.9:90"]`, `[]`, "platform"},
		{`["10.0.0.9:90"]`, `["store"]`, "platform"},
		{`"grace": "6s"`, `"grace": "-6s"`, "grace"},
		{`"grace": "6s"`, `"grace": "six"`, "six"},
		{`"window": "10s"`, `"window": "0s"`, "window"},
		{`"unknown": 5`, `"log": "loud"`, "log"},
		{`"unknown": 5`, `"memory": 1`, "memory"},
		{`"unknown": 5`, `"revoke": "1ms"`, "revoke"},
		{`"unknown": 5`, `"revoke": "-5s"`, "revoke"},
		{`"unknown": 5`, `"apply": "1ms"`, "apply"},
		{`"unknown": 5`, `"apply": "-5s"`, "apply"},
		{`"unknown": 5`, `"link": -1`, "link"},
	} {
		t.Run(tc.changed, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseSettings([]byte(strings.Replace(validSettings, tc.old, tc.changed, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.field))
		})
	}
}

// Every name in the platform's settings template is a setting.
func TestTemplateNamesSettings(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../deploy/settings.json")
	is.NoErr(err)
	for line := range strings.SplitSeq(string(data), "\n") {
		name, _, ok := strings.Cut(strings.TrimSpace(line), ":")
		if !ok {
			continue
		}
		is.True(settingNames()[strings.Trim(name, `"`)]) // Each name is a setting.
	}
}

// settingNames returns the names of all settings.
func settingNames() map[string]bool {
	names := make(map[string]bool)
	for f := range reflect.TypeFor[Settings]().Fields() {
		names[f.Tag.Get("json")] = true
	}
	return names
}
