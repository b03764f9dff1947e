package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"
)

// ErrInvalid is wrapped by all errors about invalid settings.
var ErrInvalid = errors.New("settings refused")

// Settings are the settings of one entry; all but entry, zone, service and the addresses have defaults.
type Settings struct {
	// Entry is the ID of this entry VM.
	Entry string `json:"entry"`
	// Zone is the availability zone of this VM.
	Zone string `json:"zone"`
	// Service is the name of the service whose document and jobs this entry handles.
	Service string `json:"service"`
	// HTTPAddress is the listen address for callers and operators, as IP:port.
	HTTPAddress string `json:"httpAddress"`
	// PeerAddress is the listen address for other entries, as IP:port.
	PeerAddress string   `json:"peerAddress"`
	Platform    Platform `json:"platform"`
	// CallerAuth is how callers are authenticated: CallerAuthTrusted (the default) or CallerAuthKeys.
	CallerAuth string `json:"callers"`
	// OperatorKeySHA256 is the hex SHA-256 hash of the key that authorises changes of the document; it is required with CallerAuthKeys.
	OperatorKeySHA256 string `json:"operatorKeySha256,omitempty"`
	// LogFormat is "json" (the default) or "text".
	LogFormat string `json:"logFormat"`
	// LogLevel is "debug", "info" (the default), "warn" or "error".
	LogLevel string `json:"logLevel"`
	// TraceFile is the file to which spans are written as JSON lines; empty disables tracing.
	TraceFile string `json:"traceFile,omitempty"`
	// DrainMillis is how long the entry keeps serving after it reports that it is not ready, in milliseconds; the default is 2000.
	DrainMillis int `json:"drainMillis"`
	// MemoryMB is the memory that the process may use, in MB; 0 (the default) means that of the VM or of the control group.
	MemoryMB int `json:"memoryMb,omitempty"`
	// MaxOpenFiles is the number of file descriptors that the process may use; 0 (the default) means the limit of the process.
	MaxOpenFiles int `json:"maxOpenFiles,omitempty"`
	// CheckInvariants stops the process at the first violated invariant; the default is false.
	CheckInvariants bool `json:"checkInvariants,omitempty"`
}

// Platform holds the endpoints of the table service, the object store and the VM list, and the access to them.
type Platform struct {
	// TableURL, ObjectURL and ListURL are http or https URLs with an IP address as the host.
	TableURL  string `json:"tableUrl"`
	ObjectURL string `json:"objectUrl"`
	ListURL   string `json:"listUrl"`
	// Table and Bucket default to "snipelift".
	Table  string `json:"table"`
	Bucket string `json:"bucket"`
	// Region defaults to "local".
	Region string `json:"region"`
	// TimeoutMillis is the timeout of one request in milliseconds; the default is 1500.
	TimeoutMillis int `json:"timeoutMillis"`
	// AccessKeyID and SecretAccessKey are the credentials that sign requests; without them requests are unsigned.
	AccessKeyID     string `json:"accessKeyId,omitempty"`
	SecretAccessKey string `json:"secretAccessKey,omitempty"`
}

const (
	// CallerAuthTrusted accepts the organisation that a request names.
	CallerAuthTrusted = "trusted"
	// CallerAuthKeys determines the organisation from the hash of the caller's API key.
	CallerAuthKeys = "keys"

	defaultDrainMillis   = 2000
	defaultTimeoutMillis = 1500
	maxMillis            = 60_000
	maxSettingsBytes     = 1 << 20
	// maxMemoryMB and maxFiles are the largest accepted values of memoryMb and maxOpenFiles.
	maxMemoryMB = 1 << 20
	maxFiles    = 1 << 24
)

var (
	namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Timeout returns the timeout of one request to the platform.
func (p Platform) Timeout() time.Duration { return time.Duration(p.TimeoutMillis) * time.Millisecond }

// Drain returns how long the entry keeps serving after it reports that it is not ready.
func (s Settings) Drain() time.Duration { return time.Duration(s.DrainMillis) * time.Millisecond }

// Load reads a settings file, applies the defaults and validates the result.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Decode(data)
}

// Decode parses settings, applies the defaults and validates the result; errors wrap ErrInvalid and name the key, its value and the accepted values.
func Decode(data []byte) (Settings, error) {
	if len(data) > maxSettingsBytes {
		return Settings{}, fmt.Errorf("%w: %d bytes, at most %d are accepted", ErrInvalid, len(data), maxSettingsBytes)
	}
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, fmt.Errorf("%w: %s", ErrInvalid, describeDecodeError(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, fmt.Errorf("%w: text after the settings' end", ErrInvalid)
	}
	s = s.WithDefaults()
	return s, s.Validate()
}

// describeDecodeError describes a JSON error; for a value of the wrong type it names the key and the accepted type.
func describeDecodeError(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Sprintf("%s: a %s, accepted is a value of type %s", wrong.Field, wrong.Value, wrong.Type)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// WithDefaults returns the settings with the defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.CallerAuth, CallerAuthTrusted)
	setDefault(&s.LogFormat, "json")
	setDefault(&s.LogLevel, "info")
	setDefault(&s.DrainMillis, defaultDrainMillis)
	setDefault(&s.Platform.Table, "snipelift")
	setDefault(&s.Platform.Bucket, "snipelift")
	setDefault(&s.Platform.Region, "local")
	setDefault(&s.Platform.TimeoutMillis, defaultTimeoutMillis)
	return s
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Validate returns an error that wraps ErrInvalid for the first invalid value.
func (s Settings) Validate() error {
	checks := []error{
		checkName("entry", s.Entry),
		checkName("zone", s.Zone),
		checkName("service", s.Service),
		checkAddress("httpAddress", s.HTTPAddress),
		checkAddress("peerAddress", s.PeerAddress),
		checkURL("platform.tableUrl", s.Platform.TableURL),
		checkURL("platform.objectUrl", s.Platform.ObjectURL),
		checkURL("platform.listUrl", s.Platform.ListURL),
		checkName("platform.table", s.Platform.Table),
		checkName("platform.bucket", s.Platform.Bucket),
		checkRange("platform.timeoutMillis", s.Platform.TimeoutMillis, 1, maxMillis),
		checkOneOf("callers", s.CallerAuth, CallerAuthTrusted, CallerAuthKeys),
		checkOneOf("logFormat", s.LogFormat, "json", "text"),
		checkOneOf("logLevel", s.LogLevel, "debug", "info", "warn", "error"),
		checkRange("drainMillis", s.DrainMillis, 1, maxMillis),
		checkRange("memoryMb", s.MemoryMB, 0, maxMemoryMB),
		checkRange("maxOpenFiles", s.MaxOpenFiles, 0, maxFiles),
		s.checkOperatorKey(),
	}
	for _, err := range checks {
		if err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	return nil
}

func (s Settings) checkOperatorKey() error {
	if s.OperatorKeySHA256 == "" && s.CallerAuth == CallerAuthTrusted {
		return nil
	}
	if !hashPattern.MatchString(s.OperatorKeySHA256) {
		return errors.New("operatorKeySha256: accepted are 64 lower-case hex digits, needed when callers is \"keys\"")
	}
	return nil
}

func checkName(key, value string) error {
	if !namePattern.MatchString(value) {
		return fmt.Errorf("%s: %q, accepted are letters, digits, dots, dashes and underscores, 1 to 63", key, value)
	}
	return nil
}

func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q, accepted is an IP number and a port, as in 10.0.0.1:8080", key, value)
	}
	return nil
}

func checkURL(key, value string) error {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%s: %q, accepted is an http or https URL", key, value)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return fmt.Errorf("%s: %q, accepted is an IP number as host, as in http://10.0.0.1:8000", key, value)
	}
	return nil
}

func checkRange(key string, value, low, high int) error {
	if value < low || value > high {
		return fmt.Errorf("%s: %d, accepted are %d to %d", key, value, low, high)
	}
	return nil
}

func checkOneOf(key, value string, accepted ...string) error {
	for _, a := range accepted {
		if value == a {
			return nil
		}
	}
	return fmt.Errorf("%s: %q, accepted are %s", key, value, strings.Join(accepted, ", "))
}
