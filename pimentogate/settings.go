package pimentogate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentosettings"
	"pimentoarch/pimentotarget"
)

// Duration is written as a number and its unit, such as "2.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings are the settings of one entry VM, as JSON. Fields that aren't known
// pass.
type Settings struct {
	// Name is the VM's name.
	Name pimentotarget.EntryName `json:"name"`
	// Domain is the failure domain of the VM.
	Domain pimentoregister.DomainName `json:"domain"`
	// Regions has the region of each failure domain.
	Regions map[pimentoregister.DomainName]pimentoregister.RegionName `json:"regions"`
	// CallersAddr, Ready, Peers and Admin are the addresses to listen on, IP and
	// port each: for callers, for the balancer's question, for other entries,
	// and for operators.
	CallersAddr string `json:"callers"`
	ReadyAddr   string `json:"ready"`
	PeersAddr   string `json:"peers"`
	AdminAddr   string `json:"admin"`
	// Seeds are addresses of other entries to begin with.
	Seeds []string `json:"seeds"`
	// PlatformAddrs lists the replicas of the platform's store.
	PlatformAddrs []string `json:"platform"`
	// FirstStart is set when the whole fleet starts for the first time, so that there
	// is time to hear from others what is published.
	FirstStart bool `json:"first"`
	// GracePeriod is the time from a stop signal until the process is killed.
	GracePeriod Duration `json:"grace"`
	// RetryRatio and Repeats bound the repeats to a service in each Window, all
	// entries together: a part of its requests, and a fixed number.
	RetryRatio  float64  `json:"ratio"`
	RetryBase   float64  `json:"repeats"`
	RetryWindow Duration `json:"window"`
	// ColdRateFactor and Slack bound the requests a second to a cold target, all
	// entries together: ColdRateFactor times what it bears, and a fixed number.
	ColdRateFactor float64 `json:"overshoot"`
	ColdRateExtra  float64 `json:"slack"`
	// ProbeRate bounds the questions to a target a second, all entries together
	// and over the day. 0 means no bound.
	ProbeRate float64 `json:"questions"`
	// MemoryMiB is the VM's memory in MiB.
	MemoryMiB int `json:"memory"`
	// LogLevel is the least level that is logged: debug, info, warn or error.
	LogLevel string `json:"log"`
	// LogLineRate bounds the log lines a second about requests that went well.
	LogLineRate int `json:"lines"`
}

// DefaultSettings returns the values of the settings that a file leaves out.
func DefaultSettings() Settings {
	return Settings{
		GracePeriod:    Duration(6 * time.Second),
		RetryRatio:     0.2,
		RetryWindow:    Duration(10 * time.Second),
		ColdRateFactor: 1,
		MemoryMiB:      256,
		LogLevel:       "info",
		LogLineRate:    20,
	}
}

// Region is the VM's own region.
func (s *Settings) Region() pimentoregister.RegionName { return s.Regions[s.Domain] }

// ParseSettings reads and checks settings.
func ParseSettings(data []byte) (Settings, error) {
	s := DefaultSettings()
	if err := json.Unmarshal(data, &s); err != nil {
		return s, &Error{Op: "settings", Kind: KindSettings, Err: err}
	}
	if err := s.check(); err != nil {
		return s, &Error{Op: "settings", Kind: KindSettings, Err: err}
	}
	return s, nil
}

func (s *Settings) check() error {
	if err := pimentosettings.Required("name", string(s.Name)); err != nil {
		return err
	}
	if s.Region() == "" {
		return fmt.Errorf("domain: value %q isn't in regions", s.Domain)
	}
	if len(s.PlatformAddrs) == 0 {
		return fmt.Errorf("platform: at least one address is required")
	}
	addresses := []struct{ field, value string }{
		{"callers", s.CallersAddr}, {"ready", s.ReadyAddr}, {"peers", s.PeersAddr}, {"admin", s.AdminAddr},
	}
	for _, a := range s.Seeds {
		addresses = append(addresses, struct{ field, value string }{"seeds", a})
	}
	for _, a := range s.PlatformAddrs {
		addresses = append(addresses, struct{ field, value string }{"platform", a})
	}
	for _, a := range addresses {
		if err := pimentosettings.Address(a.field, a.value); err != nil {
			return err
		}
	}
	return s.checkNumbers()
}

func (s *Settings) checkNumbers() error {
	return cmp.Or(
		pimentosettings.LogLevel(s.LogLevel),
		pimentosettings.AtLeast("grace", time.Duration(s.GracePeriod).Seconds(), 0),
		pimentosettings.AtLeast("ratio", s.RetryRatio, 0),
		pimentosettings.AtLeast("repeats", s.RetryBase, 0),
		pimentosettings.AtLeast("window", time.Duration(s.RetryWindow).Seconds(), 0.1),
		pimentosettings.AtLeast("overshoot", s.ColdRateFactor, 0),
		pimentosettings.AtLeast("slack", s.ColdRateExtra, 0),
		pimentosettings.AtLeast("questions", s.ProbeRate, 0),
		pimentosettings.AtLeast("memory", s.MemoryMiB, 16),
		pimentosettings.AtLeast("lines", s.LogLineRate, 0),
	)
}
