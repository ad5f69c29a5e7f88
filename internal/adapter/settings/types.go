package settings

import (
	"time"

	"sassafrasreach/internal/core/document"
)

// Control holds the settings of a control VM.
type Control struct {
	// Name identifies the control VM; one of the members must have it.
	Name string `yaml:"name"`
	// DataDir is the path of the folder in which the VM stores its state.
	DataDir string `yaml:"data_dir"`
	// PeerListen is the IP:port to listen on for the other control VMs and the
	// entry VMs (gRPC).
	PeerListen string `yaml:"peer_listen"`
	// OperatorListen is the IP:port to listen on for operators (HTTP).
	OperatorListen string `yaml:"operator_listen"`
	// Members are the 3 or 5 control VMs, including this one.
	Members []Member `yaml:"members"`
	// BootstrapTokenSHA256 is the lower-case hex SHA-256 of the token that may apply
	// the first document; empty means none. It is ignored once a document exists.
	BootstrapTokenSHA256 string `yaml:"bootstrap_token_sha256"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// MetricsListen is the IP:port on which metrics are served (HTTP); empty means
	// none.
	MetricsListen string `yaml:"metrics_listen"`
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64 `yaml:"memory_bytes"`
	// MaxDescriptors is the number of file descriptors that the process may open.
	MaxDescriptors int64 `yaml:"max_descriptors"`
}

// Member names one control VM and its address.
type Member struct {
	// Name identifies the control VM.
	Name string `yaml:"name"`
	// Address is the IP:port at which the other VMs reach its PeerListen.
	Address string `yaml:"address"`
}

// Entry holds the settings of an entry VM.
type Entry struct {
	// Name identifies the entry VM; the document lists it under the same name.
	Name string `yaml:"name"`
	// Place is the name of the failure domain of the VM, as in the document.
	Place string `yaml:"place"`
	// CallerListen is the IP:port to listen on for callers and endpoints (HTTP).
	CallerListen string `yaml:"caller_listen"`
	// PeerListen is the IP:port to listen on for other entry VMs and control VMs
	// (gRPC).
	PeerListen string `yaml:"peer_listen"`
	// Control lists the peer addresses (IP:port) of the control VMs.
	Control []string `yaml:"control"`
	// Seeds lists the peer addresses (IP:port) of some other entry VMs.
	Seeds []string `yaml:"seeds"`
	// DrainLimit bounds the duration of a planned stop.
	DrainLimit Duration `yaml:"drain_limit"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// MetricsListen is the IP:port on which metrics are served (HTTP); empty means
	// none.
	MetricsListen string `yaml:"metrics_listen"`
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64 `yaml:"memory_bytes"`
	// MaxDescriptors is the number of file descriptors that the process may open.
	MaxDescriptors int64 `yaml:"max_descriptors"`
}

// Duration is a time.Duration that is written as text, such as "30s".
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
	// DefaultMemoryBytes is the default of both MemoryBytes fields. A request body of
	// document.MaxBodyBytesBound fits into it, also when it is forwarded.
	DefaultMemoryBytes = 512 << 20
	// MinMemoryBytes and MaxMemoryBytes bound both MemoryBytes fields.
	MinMemoryBytes = 128 << 20
	MaxMemoryBytes = 1 << 40
	// DefaultMaxDescriptors is the default of both MaxDescriptors fields. The process's own
	// limit takes precedence if it is less.
	DefaultMaxDescriptors = 1 << 16
	// MinMaxDescriptors and MaxMaxDescriptors bound both MaxDescriptors fields.
	MinMaxDescriptors = 256
	MaxMaxDescriptors = 1 << 20
	// MaxFileBytes bounds the length of a settings file, in bytes.
	MaxFileBytes = 1 << 20
)
