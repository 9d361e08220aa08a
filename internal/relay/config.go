package relay

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"larchrouter/internal/relay/handover"
	"larchrouter/internal/relay/settings"
	"larchrouter/internal/vfs"
)

// Config configures a relay.
type Config struct {
	Listen     string
	Discovery  []string // addresses to try in turn
	State      string   // folder of the journal
	Seed       uint64
	Cores      float64
	MemoryMB   float64
	Sockets    int
	DiskMB     float64
	Power      bool       // records survive a loss of power
	Files      vfs.System // the journal's folder, nil for State
	Known      hostList
	Settings   settings.Settings
	PeerListen string              // address for messages of other relays; empty for none
	Peers      []string            // addresses of all relays by number, including this one
	Admin      string              // the second address; empty for none
	Standalone *Standalone         // nil under a platform
	Successor  *handover.Successor // what the predecessor transferred; nil without one
	Unlock     func()              // unlocks the state folder once the relay is released; may be nil

	file []byte // as it was read
}

// ReadConfig reads the file that BALANCER_CONFIG names. The other variables override it. If BALANCER_DISCOVERY does, the
// file's address comes second, since it may be newer.
func ReadConfig(env func(string) string) (Config, error) {
	var config Config
	path := env("BALANCER_CONFIG")
	if path == "" {
		return config, fmt.Errorf("BALANCER_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	var file struct {
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Admin     string `json:"admin"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
			DiskMB   float64 `json:"disk_mb"`
		} `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		Known      hostList        `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return config, fmt.Errorf("%s: %w", path, err)
	}
	override := func(name, value string) string {
		if v := env(name); v != "" {
			return v
		}
		return value
	}
	config = Config{Listen: override("BALANCER_LISTEN", file.Listen),
		Discovery: []string{override("BALANCER_DISCOVERY", file.Discovery)},
		State:     env("BALANCER_STATE"), Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB,
		Sockets: file.Limits.Sockets, DiskMB: file.Limits.DiskMB, Known: file.Known, PeerListen: file.PeerListen, Peers: file.Peers,
		Admin: override("BALANCER_ADMIN", file.Admin), file: data}
	for name, v := range map[string]string{
		"listen": config.Listen, "discovery": config.Discovery[0], "BALANCER_STATE": config.State,
	} {
		if v == "" {
			return config, fmt.Errorf("%s: %s is missing", path, name)
		}
	}
	if file.Discovery != "" && file.Discovery != config.Discovery[0] {
		config.Discovery = append(config.Discovery, file.Discovery)
	}
	if config.Sockets < 64 || config.DiskMB <= 0 {
		return config, fmt.Errorf("%s: limits: sockets is %d and disk_mb %g, must be at least 64 and above 0",
			path, config.Sockets, config.DiskMB)
	}
	if file.Seed != "" {
		if config.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return config, fmt.Errorf("%s: seed: %w", path, err)
		}
	}
	if config.Settings, err = settings.Parse(file.Settings); err != nil {
		return config, fmt.Errorf("%s: settings: %w", path, err)
	}
	if err := config.Settings.Check(); err != nil {
		return config, fmt.Errorf("%s: settings: %w", path, err)
	}
	return config, nil
}

// File returns the file as it was read.
func (c Config) File() []byte { return c.file }

// ReadAgain reads the file again for a relay that runs with c. Its address of discovery overrides BALANCER_DISCOVERY now.
// A file that a relay would not start with, or that lacks a key of c's file, is an error.
func (c Config) ReadAgain(env func(string) string) (Config, error) {
	again, err := ReadConfig(func(name string) string {
		if name == "BALANCER_DISCOVERY" {
			return ""
		}
		return env(name)
	})
	if err != nil {
		return again, err
	}
	missing, err := settings.Missing(c.file, again.file, "known", "seed", "admin")
	if err == nil && len(missing) > 0 {
		err = fmt.Errorf("%s: %s is missing", env("BALANCER_CONFIG"), strings.Join(missing, ", "))
	}
	return again, err
}
