package entry

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"hornbeamcove.example/core/wire"
)

// Settings are the settings of one router.
type Settings struct {
	Name    wire.HostID                         `toml:"name"`
	Centre  wire.DataCentreID                   `toml:"centre"`
	Centres map[wire.DataCentreID]wire.RegionID `toml:"centres"` // with their regions

	Callers wire.Address   `toml:"callers"` // listener for callers
	Ready   wire.Address   `toml:"ready"`   // listener for the balancer
	Peers   wire.Address   `toml:"peers"`   // listener for other routers
	Admin   wire.Address   `toml:"admin"`   // listener for metrics and state
	Store   wire.Address   `toml:"store"`   // of the platform
	Seeds   []wire.Address `toml:"seeds"`   // peer listeners of some routers

	Memory  int     `toml:"memory"`  // of the process, in MB
	Files   int     `toml:"files"`   // descriptors of the process
	Stop    float64 `toml:"stop"`    // seconds from SIGTERM to SIGKILL
	Retries float64 `toml:"retries"` // of all routers, as a part of the first attempts
	Slack   int     `toml:"slack"`   // more retries of all routers in a window
	Level   string  `toml:"level"`   // of the log
}

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (s Settings, err error) {
	defer func() {
		if err != nil {
			s, err = Settings{}, fmt.Errorf("load settings %s: %w", path, err)
		}
	}()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return ParseSettings(data)
}

// ParseSettings decodes and checks settings. The error names the first wrong field.
func ParseSettings(data []byte) (s Settings, err error) {
	if err = toml.Unmarshal(data, &s); err != nil {
		return Settings{}, err
	}
	if s.Level == "" {
		s.Level = "info"
	}
	if err = s.validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func (s *Settings) validate() error {
	if s.Name == "" {
		return errors.New("name is missing")
	}
	if _, ok := s.Centres[s.Centre]; !ok {
		return fmt.Errorf("centre %q is not among centres", s.Centre)
	}
	addrs := map[string]wire.Address{
		"callers": s.Callers, "ready": s.Ready, "peers": s.Peers, "admin": s.Admin, "store": s.Store,
	}
	for _, field := range []string{"callers", "ready", "peers", "admin", "store"} {
		if _, err := netip.ParseAddrPort(string(addrs[field])); err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
	}
	for _, a := range s.Seeds {
		if _, err := netip.ParseAddrPort(string(a)); err != nil {
			return fmt.Errorf("seeds: %w", err)
		}
	}
	switch {
	case s.Memory <= 0:
		return errors.New("memory is not positive")
	case s.Stop <= 0:
		return errors.New("stop is not positive")
	case s.Retries < 0 || s.Slack < 0:
		return errors.New("retries or slack is negative")
	}
	return nil
}

// grace is the time from SIGTERM to SIGKILL.
func (s *Settings) grace() time.Duration { return time.Duration(s.Stop * float64(time.Second)) }

// region returns the region of a data centre.
func (s *Settings) region(c wire.DataCentreID) wire.RegionID { return s.Centres[c] }
