package entry

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"hornbeamcove.example/core/wire"
)

// Settings holds the settings of one router, as read from its settings file.
type Settings struct {
	Name    wire.HostID                         `toml:"name"`    // unique among the routers
	Centre  wire.DataCentreID                   `toml:"centre"`  // data centre of the router, one of Centres
	Centres map[wire.DataCentreID]wire.RegionID `toml:"centres"` // region of each data centre

	Callers wire.Address   `toml:"callers"` // listen address for callers
	Ready   wire.Address   `toml:"ready"`   // listen address for the load balancer's readiness checks
	Peers   wire.Address   `toml:"peers"`   // listen address for other routers
	Admin   wire.Address   `toml:"admin"`   // listen address for metrics and the state dump
	Store   wire.Address   `toml:"store"`   // address of the platform's store
	Seeds   []wire.Address `toml:"seeds"`   // peer addresses of some routers, to join through

	// Numbers may have fractions, whatever they count: a deployment may scale its limits.
	Cores   float64 `toml:"cores"`   // processor share of the host in cores, 0 if unknown
	Memory  float64 `toml:"memory"`  // memory available to the process in MiB
	Files   float64 `toml:"files"`   // file descriptors available to the process
	Stop    float64 `toml:"stop"`    // time from SIGTERM to SIGKILL in seconds
	Retries float64 `toml:"retries"` // retries of all routers, as a ratio of first attempts
	Slack   float64 `toml:"slack"`   // retries of all routers in any period on top of that ratio
	Level   string  `toml:"level"`   // log level, "info" if empty

	Shed   bool `toml:"shed"`   // when there is too little room, turn away what costs callers least
	Shares bool `toml:"shares"` // whether services that are short of room are divided among teams
	Loads  bool `toml:"loads"`  // whether choices go by the load and pace that upstreams tell
}

// LoadSettings reads and validates the settings file at path.
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

// ParseSettings decodes and validates settings in TOML. The error names the first
// invalid field, and the line if the field can't be decoded.
func ParseSettings(data []byte) (s Settings, err error) {
	if err = toml.Unmarshal(data, &s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			line, _ := de.Position()
			err = fmt.Errorf("line %d: %s: %w", line, strings.Join(de.Key(), "."), err)
		}
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

// validate returns an error that names the first invalid field.
func (s *Settings) validate() error {
	if s.Name == "" {
		return errors.New("name must not be empty")
	}
	if _, ok := s.Centres[s.Centre]; !ok {
		return fmt.Errorf("centre %q is not listed in centres", s.Centre)
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
	case s.Cores < 0:
		return errors.New("cores must not be negative")
	case s.Memory <= 0:
		return errors.New("memory must be positive")
	case s.Stop <= 0:
		return errors.New("stop must be positive")
	case s.Retries < 0 || s.Slack < 0:
		return errors.New("retries and slack must not be negative")
	}
	return nil
}

// grace returns the time from SIGTERM to SIGKILL.
func (s *Settings) grace() time.Duration { return time.Duration(s.Stop * float64(time.Second)) }

// region returns the region of a data centre.
func (s *Settings) region(c wire.DataCentreID) wire.RegionID { return s.Centres[c] }
