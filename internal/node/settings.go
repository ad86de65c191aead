package node

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// Settings are the static settings of one router: who and where it is. What
// operators change at run time are resources, not settings.
type Settings struct {
	// Node is the router's name, unique in the system and kept over restarts.
	Node   string `yaml:"node"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// HTTPAddress is where callers and operators connect, as IP:port.
	HTTPAddress string `yaml:"httpAddress"`
	// PeerAddress is where other routers connect, as IP:port.
	PeerAddress string `yaml:"peerAddress"`
	// Seeds are peer addresses of other routers to join through.
	Seeds []string `yaml:"seeds"`
	// Platform is the address of the platform's object API, as IP:port.
	Platform string `yaml:"platform"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel"`
	Limits   Limits `yaml:"limits"`
	// DrainGraceMillis is how long a stopping router still accepts requests, so
	// that callers' balancers can notice.
	DrainGraceMillis int `yaml:"drainGraceMillis"`
	// FaultEndpoint opens the endpoint by which tests cut the router off.
	FaultEndpoint bool `yaml:"faultEndpoint"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes        int64 `yaml:"maxBodyBytes"`
	MaxHeaderBytes      int   `yaml:"maxHeaderBytes"`
	BodyTimeoutMillis   int   `yaml:"bodyTimeoutMillis"`
	HeaderTimeoutMillis int   `yaml:"headerTimeoutMillis"`
	// DefaultDeadlineMillis is used for requests without a deadline of their own.
	DefaultDeadlineMillis int `yaml:"defaultDeadlineMillis"`
	DefaultMaxTokens      int `yaml:"defaultMaxTokens"`
}

// Defaults of the settings.
const (
	defaultMaxBodyBytes    = 4 << 20
	defaultMaxHeaderBytes  = 16 << 10
	defaultBodyTimeout     = 20 * time.Second
	defaultHeaderTimeout   = 5 * time.Second
	defaultDeadline        = 10 * time.Minute
	defaultMaxTokens       = 256
	defaultDrainGrace      = time.Second
	defaultRegion          = "default"
	settingsFileSizeToRead = 1 << 20
)

// LoadSettings reads a settings file. Unknown fields are refused.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	if len(content) > settingsFileSizeToRead {
		return Settings{}, trace.BadParameter("%s: file is too large", path)
	}
	var settings Settings
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, trace.BadParameter("%s: %v", path, err)
	}
	return settings, nil
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetDefaults fills unset settings.
func (s *Settings) SetDefaults() {
	orDefault(&s.Region, defaultRegion)
	orDefault(&s.LogLevel, "info")
	orDefault(&s.DrainGraceMillis, int(defaultDrainGrace.Milliseconds()))
	orDefault(&s.Limits.MaxBodyBytes, defaultMaxBodyBytes)
	orDefault(&s.Limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	orDefault(&s.Limits.BodyTimeoutMillis, int(defaultBodyTimeout.Milliseconds()))
	orDefault(&s.Limits.HeaderTimeoutMillis, int(defaultHeaderTimeout.Milliseconds()))
	orDefault(&s.Limits.DefaultDeadlineMillis, int(defaultDeadline.Milliseconds()))
	orDefault(&s.Limits.DefaultMaxTokens, defaultMaxTokens)
}

// Check returns every fault of the settings.
func (s *Settings) Check() []string {
	var faults []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	isAddress := func(address string) bool {
		_, err := netip.ParseAddrPort(address)
		return err == nil
	}
	require(s.Node != "", "node: is required")
	require(s.Zone != "", "zone: is required")
	require(isAddress(s.HTTPAddress), "httpAddress: must be IP:port, got %q", s.HTTPAddress)
	require(isAddress(s.PeerAddress), "peerAddress: must be IP:port, got %q", s.PeerAddress)
	require(isAddress(s.Platform), "platform: must be IP:port, got %q", s.Platform)
	for i, seed := range s.Seeds {
		require(isAddress(seed), "seeds[%d]: must be IP:port, got %q", i, seed)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		require(false, "logLevel: must be debug, info, warn or error, got %q", s.LogLevel)
	}
	require(s.Limits.MaxBodyBytes > 0, "limits.maxBodyBytes: must be above 0")
	require(s.Limits.MaxHeaderBytes > 0, "limits.maxHeaderBytes: must be above 0")
	require(s.Limits.BodyTimeoutMillis > 0, "limits.bodyTimeoutMillis: must be above 0")
	require(s.Limits.HeaderTimeoutMillis > 0, "limits.headerTimeoutMillis: must be above 0")
	require(s.Limits.DefaultDeadlineMillis > 0, "limits.defaultDeadlineMillis: must be above 0")
	require(s.Limits.DefaultMaxTokens > 0, "limits.defaultMaxTokens: must be above 0")
	require(s.DrainGraceMillis >= 0, "drainGraceMillis: must not be negative")
	return faults
}
