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

// Settings are the static settings of one router: its identity and its addresses. Everything that
// operators change at run time is configured by resources instead.
type Settings struct {
	// Node is the router's name. It is unique in the system and must not change on a restart.
	Node   string `yaml:"node"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// HTTPAddress is the IP:port at which callers and operators connect.
	HTTPAddress string `yaml:"httpAddress"`
	// PeerAddress is the IP:port at which other routers connect.
	PeerAddress string `yaml:"peerAddress"`
	// Seeds are the peer addresses of other routers through which this router joins the system.
	Seeds []string `yaml:"seeds"`
	// Platform is the IP:port of the platform's object API.
	Platform string `yaml:"platform"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel"`
	Limits   Limits `yaml:"limits"`
	// DrainGraceMillis is the time for which a stopping router still accepts requests, so that
	// load balancers can notice that it is no longer ready.
	DrainGraceMillis int `yaml:"drainGraceMillis"`
	// FaultEndpoint enables the endpoint by which tests inject network partitions.
	FaultEndpoint bool `yaml:"faultEndpoint"`
}

// Limits are the limits on requests of callers, and the defaults for values that they omit.
type Limits struct {
	MaxBodyBytes        int64 `yaml:"maxBodyBytes"`
	MaxHeaderBytes      int   `yaml:"maxHeaderBytes"`
	BodyTimeoutMillis   int   `yaml:"bodyTimeoutMillis"`
	HeaderTimeoutMillis int   `yaml:"headerTimeoutMillis"`
	// DefaultDeadlineMillis is the timeout of requests that do not state one.
	DefaultDeadlineMillis int `yaml:"defaultDeadlineMillis"`
	DefaultMaxTokens      int `yaml:"defaultMaxTokens"`
}

// Default values of settings.
const (
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 16 << 10
	defaultBodyTimeout    = 20 * time.Second
	defaultHeaderTimeout  = 5 * time.Second
	defaultDeadline       = 10 * time.Minute
	defaultMaxTokens      = 256
	defaultDrainGrace     = time.Second
	defaultRegion         = "default"

	maxSettingsFileBytes = 1 << 20
)

// LoadSettings reads a YAML settings file. It returns an error if the file has unknown fields.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	if len(content) > maxSettingsFileBytes {
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

// setDefault sets the field to the default value if it has the zero value.
func setDefault[T comparable](field *T, defaultValue T) {
	var zero T
	if *field == zero {
		*field = defaultValue
	}
}

// SetDefaults sets the default values of settings that are not set.
func (s *Settings) SetDefaults() {
	setDefault(&s.Region, defaultRegion)
	setDefault(&s.LogLevel, "info")
	setDefault(&s.DrainGraceMillis, int(defaultDrainGrace.Milliseconds()))
	setDefault(&s.Limits.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.Limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&s.Limits.BodyTimeoutMillis, int(defaultBodyTimeout.Milliseconds()))
	setDefault(&s.Limits.HeaderTimeoutMillis, int(defaultHeaderTimeout.Milliseconds()))
	setDefault(&s.Limits.DefaultDeadlineMillis, int(defaultDeadline.Milliseconds()))
	setDefault(&s.Limits.DefaultMaxTokens, defaultMaxTokens)
}

// Check returns a description of each invalid setting.
func (s *Settings) Check() []string {
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
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
	return problems
}
