//go:build review

package lab

import (
	"net"
	"net/http"

	"github.com/gypsumlug/gypsumlug/platform/standin"
)

// Platform is the store of the platform, the project's own stand-in.
type Platform struct {
	*standin.Store
	Address string
	version int
}

// StartPlatform starts a store.
func StartPlatform() (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Store: standin.NewStore(), Address: l.Addr().String()}
	go func() { _ = http.Serve(l, p.Store) }()
	return p, nil
}

// Route is a route to one service.
type Route struct {
	Name, Host, Prefix, Type, Service string
	TimeoutMS, TargetMS, MaxAttempts  int
}

// Configure writes the next version of the configuration.
func (p *Platform) Configure(routes []Route, maxConnections int) int {
	p.version++
	var routeDocs, serviceDocs []map[string]any
	for _, r := range routes {
		routeDocs = append(routeDocs, map[string]any{
			"name": r.Name, "host": r.Host, "prefix": r.Prefix, "type": r.Type, "service": r.Service,
			"timeout_ms": r.TimeoutMS, "target_latency_ms": r.TargetMS, "priority": 1, Names.MaxAttempts: r.MaxAttempts,
		})
		serviceDocs = append(serviceDocs, map[string]any{
			"name": r.Service, Names.HealthCheckPath: "/health", "max_connections": maxConnections, "protocol": "h1", "tls": false,
		})
	}
	p.Put(Names.ConfigKey, map[string]any{
		"version": p.version, "routes": routeDocs, "services": serviceDocs,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return p.version
}

// Register writes the entry of a replica.
func (p *Platform) Register(r *Replica, state string) {
	p.Put(Names.ReplicaPrefix+r.ID, r.Entry(state))
}

// Remove removes the entry of a replica.
func (p *Platform) Remove(r *Replica) { p.Delete(Names.ReplicaPrefix + r.ID) }
