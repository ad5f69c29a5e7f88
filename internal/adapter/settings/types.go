package settings

import (
	"time"

	"sassafrasreach/internal/core/document"
)

// Control holds the settings of a control VM.
type Control struct {
	// Name identifies the control VM; it is one of the members.
	Name string `yaml:"name"`
	// DataDir is the folder on disk for the VM's own state.
	DataDir string `yaml:"data_dir"`
	// PeerListen is the IP:port for the other control VMs and the entries (gRPC).
	PeerListen string `yaml:"peer_listen"`
	// OperatorListen is the IP:port for operators (HTTP).
	OperatorListen string `yaml:"operator_listen"`
	// Members are the 3 or 5 control VMs, this one among them.
	Members []Member `yaml:"members"`
	// BootstrapTokenSHA256 is the hex SHA-256 of the token that may apply the
	// first document. It counts only while there is no document.
	BootstrapTokenSHA256 string `yaml:"bootstrap_token_sha256"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// MetricsListen is the IP:port for metrics (HTTP); empty means none.
	MetricsListen string `yaml:"metrics_listen"`
}

// Member is one control VM.
type Member struct {
	// Name identifies the control VM.
	Name string `yaml:"name"`
	// Address is its PeerListen as the others reach it.
	Address string `yaml:"address"`
}

// Entry holds the settings of an entry VM.
type Entry struct {
	// Name identifies the entry; the document lists it under the same name.
	Name string `yaml:"name"`
	// Place names the failure domain that the VM is in.
	Place string `yaml:"place"`
	// CallerListen is the IP:port for callers and endpoints (HTTP).
	CallerListen string `yaml:"caller_listen"`
	// PeerListen is the IP:port for other entries and control VMs (gRPC).
	PeerListen string `yaml:"peer_listen"`
	// Control lists the IP:port of the control VMs' peer addresses.
	Control []string `yaml:"control"`
	// Seeds lists the IP:port of some other entries' peer addresses.
	Seeds []string `yaml:"seeds"`
	// DrainLimit bounds the time that a planned stop may take.
	DrainLimit Duration `yaml:"drain_limit"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// MetricsListen is the IP:port for metrics (HTTP); empty means none.
	MetricsListen string `yaml:"metrics_listen"`
}

// Duration is a time.Duration written as text such as "30s".
type Duration = document.Duration

// Defaults and bounds of the settings.
const (
	// DefaultLogLevel is the default of both LogLevel fields.
	DefaultLogLevel = "info"
	// DefaultDrainLimit is the default of Entry.DrainLimit.
	DefaultDrainLimit = 60 * time.Second
	// MinDrainLimit and MaxDrainLimit bound Entry.DrainLimit.
	MinDrainLimit = time.Second
	MaxDrainLimit = time.Hour
	// MaxFileBytes bounds the length of a settings file.
	MaxFileBytes = 1 << 20
)
