package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Names that all cases use.
const (
	Zone    = "zone-a"
	Host    = "callers.example"
	Key     = "key-of-tenant-one"
	Tenant  = "tenant-one"
	Model   = "model-one"
	Service = "lm"
)

// Bounds are those of the small deployments, in the settings' words.
var Bounds = map[string]any{
	"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
	"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true,
	"revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "recover_s": 12, "propagation_ms": 120,
	"retry_after_s": 10, "fencing_enforced": true, "lease_ms": 3000, "freeze_slack_ms": 300, "version_ms": 8000, "version_all_ms": 11000,
}

// MemoryMB is the memory of a machine.
const MemoryMB = 284

// Site is one small deployment: the platform's store, routers and runners.
type Site struct {
	Record   *Record
	Store    *storestand.Store
	Routers  []*Router
	endpoint *storestand.Endpoint
	folder   string
	program  string
}

// NewSite starts the platform's store. The program is the router's, and settings and logs are kept in a temporary folder.
func NewSite(record *Record, program string) (*Site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	store := storestand.New()
	store.SetListPage(500)
	// The users' pages name no eras of the store.
	store.SetEraFormat(func(uint64) string { return "" })
	endpoint, err := store.OpenEndpoint()
	if err != nil {
		return nil, err
	}
	// The counter of revisions starts above 0.
	store.Put("review-start", "start", map[string]any{})
	return &Site{Record: record, Store: store, endpoint: endpoint, folder: folder, program: program}, nil
}

// AddRouters adds routers, each at an IP address of its own. The first three are the seeds of all.
func (s *Site) AddRouters(count int) error {
	for i := range count {
		router := &Router{Name: fmt.Sprintf("front-%d", i+1), IP: fmt.Sprintf("127.77.0.%d", i+1), site: s}
		for _, address := range []*string{&router.Front, &router.Ready, &router.Control} {
			free, err := freeAddress(router.IP)
			if err != nil {
				return err
			}
			*address = free
		}
		s.Routers = append(s.Routers, router)
	}
	return nil
}

// freeAddress returns a free address of the IP.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// seeds returns the addresses of the seeds.
func (s *Site) seeds() (addresses []string) {
	for _, router := range s.Routers[:min(3, len(s.Routers))] {
		addresses = append(addresses, router.Control)
	}
	return addresses
}

// settings returns the settings of a router, as the platform writes them.
func (s *Site) settings(router *Router, bootstrap bool) map[string]any {
	return map[string]any{
		"node": router.Name, "role": "router", "machine_class": "front", "serves": []string{"front", "control"}, "ip": router.IP,
		"zone": Zone, "region": "region-a", "zones": map[string]string{Zone: "region-a"},
		"listen":     map[string]string{"front": router.Front, "ready": router.Ready, "control": router.Control},
		"port_range": []int{7340, 7355}, "seeds": s.seeds(), "bootstrap": bootstrap, "in_fault_budget": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": MemoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0}, "bounds": Bounds,
		"platform": map[string]any{
			"address": s.endpoint.Address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	}
}

// PutConfig writes the configuration: one streaming route to the service, which may be resumed or not, and the
// store of kept KV cache if there is one.
func (s *Site) PutConfig(version int, resumable bool, kvStore string) {
	kind := map[string]any{
		"name": "stream", "host": Host, "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600,
		"priority": 0, "service": Service, "max_attempts": 2, "public": false, "sticky": true, "resumable": resumable, "gap_aim_ms": 500,
	}
	engine := map[string]any{
		"slots": 64, "kv_capacity": 110556, "kv_token_bytes": 163840, "link_mbps": 1100000.0, "backups": true, "stride": 4,
		"max_concurrent": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "models": []map[string]any{{"name": Model}},
	}
	services := []any{map[string]any{"name": Service, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "engine": engine}}
	if kvStore != "" {
		services = append(services, map[string]any{"name": "kept", "kv_store_addr": kvStore, "zone": Zone, "kv_capacity": 777391, "link_mbps": 200000.0, "max_concurrent": 12})
	}
	s.Store.Put("config", "main", map[string]any{
		"version": version, "routes": []any{kind},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": Tenant, "api_keys": []string{Key}, "priority": 1, "isolated": false}},
	})
}

// NameWeights names a version of the model's weights.
func (s *Site) NameWeights(version int) {
	s.Store.Put("versions", Model, map[string]any{"model": Model, "version": version})
}

// AwaitReady waits until all given routers are ready.
func (s *Site) AwaitReady(routers []*Router, timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, router := range routers {
			if router.IsReady() {
				ready++
			}
		}
		if ready == len(routers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers are ready after %v", ready, len(routers), timeout)
		}
	}
}

// Close ends all routers and the store, and removes the temporary folder.
func (s *Site) Close() {
	for _, router := range s.Routers {
		router.Kill()
	}
	s.endpoint.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs of the routers:", s.folder)
	}
}

// mustJSON encodes the value.
func mustJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// joinPath returns the path of a file in the temporary folder.
func (s *Site) joinPath(parts ...string) string {
	return filepath.Join(s.folder, strings.Join(parts, ""))
}
