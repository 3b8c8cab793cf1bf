package pimentogate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"pimentoarch/pimentoquota"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentosettings"
	"pimentoarch/pimentotarget"
)

// Duration is a time that is written as a number and its unit, such as "2.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings are the settings of one entry VM, as JSON. Unknown fields are ignored.
type Settings struct {
	// Name is the VM's name.
	Name pimentotarget.EntryName `json:"name"`
	// Domain is the failure domain of the VM.
	Domain pimentoregister.DomainName `json:"domain"`
	// Regions has the region of each failure domain.
	Regions map[pimentoregister.DomainName]pimentoregister.RegionName `json:"regions"`
	// CallersAddr, ReadyAddr, PeersAddr and AdminAddr are the addresses to listen
	// on, IP and port each: for callers, for the readiness checks of the platform's
	// balancer, for other entries, and for operators.
	CallersAddr string `json:"callers"`
	ReadyAddr   string `json:"ready"`
	PeersAddr   string `json:"peers"`
	AdminAddr   string `json:"admin"`
	// Seeds are addresses of other entries to contact first.
	Seeds []string `json:"seeds"`
	// PlatformAddrs are the addresses of the replicas of the platform's store.
	PlatformAddrs []string `json:"platform"`
	// FirstStart is set when the whole cluster starts for the first time. Entries
	// that aren't seeds then give others time to send the published items before
	// they read the platform.
	FirstStart bool `json:"first"`
	// GracePeriod is the time from a stop signal until the process is killed.
	GracePeriod Duration `json:"grace"`
	// Drain is the time for which a target that says that it is leaving may still get
	// requests that no other target can serve.
	Drain Duration `json:"drain"`
	// RetryRatio and RetryBase bound the retries to a service in each RetryWindow,
	// by all entries together: RetryRatio times its requests, plus RetryBase.
	RetryRatio  float64  `json:"ratio"`
	RetryBase   float64  `json:"repeats"`
	RetryWindow Duration `json:"window"`
	// ColdRateFactor and ColdRateExtra bound the requests per second to a cold
	// target, by all entries together: ColdRateFactor times its cold rate, plus
	// ColdRateExtra.
	ColdRateFactor float64 `json:"overshoot"`
	ColdRateExtra  float64 `json:"slack"`
	// ProbeRate bounds the probes per second to a target, by all entries together,
	// on average over the day. 0 means no bound.
	ProbeRate float64 `json:"questions"`
	// MemoryMiB is the VM's memory in MiB.
	MemoryMiB int `json:"memory"`
	// HeldMiB bounds the bodies and messages that are held at a time, in MiB. 0 means
	// heldPercent of the VM's memory.
	HeldMiB int `json:"held"`
	// Revocation bounds the time from the acknowledgement of a configuration until no request
	// is sent any more with a key that it took away. An entry that can't be sure of that
	// refuses requests that need a key. 0 means no bound.
	Revocation Duration `json:"revoke"`
	// Apply bounds the time from the acknowledgement of a configuration until no request is
	// handled any more in a way that only older ones allow. An entry that may be behind that,
	// or behind Drain after a target's notice, refuses requests unless it is cut off. 0 means no
	// bound.
	Apply Duration `json:"apply"`
	// LinkMbps is the rate of the VM's link in Mbit/s, by which large bodies are admitted and
	// sent. 0 means that it isn't known.
	LinkMbps float64 `json:"link"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log"`
	// LogLineRate bounds the log lines per second about successful requests.
	LogLineRate int `json:"lines"`
	// LimitWindow, LimitOvershoot and LimitSlack bound the requests of an organisation
	// with a quota that run in any LimitWindow, by all entries together: the quota times
	// 1 + LimitOvershoot, plus LimitSlack.
	LimitWindow    Duration `json:"period"`
	LimitOvershoot float64  `json:"excess"`
	LimitSlack     float64  `json:"spare"`
}

// DefaultSettings returns the defaults of the settings.
func DefaultSettings() Settings {
	return Settings{
		GracePeriod:    Duration(6 * time.Second),
		Drain:          Duration(2500 * time.Millisecond),
		RetryRatio:     0.2,
		RetryWindow:    Duration(10 * time.Second),
		ColdRateFactor: 1,
		MemoryMiB:      256,
		LogLevel:       "info",
		LogLineRate:    20,
		LimitWindow:    Duration(pimentoquota.DefaultWindow),
		LimitOvershoot: 0.25,
		LimitSlack:     20,
	}
}

// applyTime returns the time within which this entry must act by what is published, 0 without a
// bound.
func (s *Settings) applyTime() time.Duration {
	return min(time.Duration(s.Apply), max(time.Duration(s.Drain), minAgeBound))
}

// heldPercent is the default of HeldMiB in percent of the VM's memory.
const heldPercent = 25

// heldBytes returns the bound on the bytes that are held at a time.
func (s *Settings) heldBytes() int {
	if s.HeldMiB > 0 {
		return s.HeldMiB << 20
	}
	return s.MemoryMiB << 20 * heldPercent / 100
}

// linkRate returns the rate of the VM's link in bytes a second, 0 if it isn't known.
func (s *Settings) linkRate() float64 { return s.LinkMbps * 1e6 / 8 }

// Region returns the VM's region.
func (s *Settings) Region() pimentoregister.RegionName { return s.Regions[s.Domain] }

// ParseSettings parses and checks settings.
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
		pimentosettings.AtLeast("drain", time.Duration(s.Drain).Seconds(), 0),
		pimentosettings.AtLeast("ratio", s.RetryRatio, 0),
		pimentosettings.AtLeast("repeats", s.RetryBase, 0),
		pimentosettings.AtLeast("window", time.Duration(s.RetryWindow).Seconds(), 0.1),
		pimentosettings.AtLeast("overshoot", s.ColdRateFactor, 0),
		pimentosettings.AtLeast("slack", s.ColdRateExtra, 0),
		pimentosettings.AtLeast("questions", s.ProbeRate, 0),
		pimentosettings.AtLeast("memory", s.MemoryMiB, 16),
		pimentosettings.AtLeast("held", s.HeldMiB, 0),
		checkAgeBound("revoke", time.Duration(s.Revocation)),
		checkAgeBound("apply", time.Duration(s.Apply)),
		pimentosettings.AtLeast("link", s.LinkMbps, 0),
		pimentosettings.AtLeast("lines", s.LogLineRate, 0),
		pimentosettings.AtLeast("period", time.Duration(s.LimitWindow).Seconds(), 0.1),
		pimentosettings.AtLeast("excess", s.LimitOvershoot, 0),
		pimentosettings.AtLeast("spare", s.LimitSlack, 0),
	)
}

// minAgeBound is the shortest bound of Settings.Revocation and Settings.Apply that the messages
// between entries can keep up with.
const minAgeBound = time.Second

func checkAgeBound(field string, d time.Duration) error {
	if d == 0 {
		return nil
	}
	return pimentosettings.AtLeast(field, d.Seconds(), minAgeBound.Seconds())
}
