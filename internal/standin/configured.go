package standin

import (
	"net/netip"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// ConfiguredDeploymentOptions describes stand-ins for an existing configuration.
type ConfiguredDeploymentOptions struct {
	Manifest []byte
	// Documents maps a hash to the document's bytes.
	Documents map[string][]byte
	// PlatformAddress is the address that the platform listens on; empty selects a
	// free port on 127.0.0.1.
	PlatformAddress string
	ServiceTime     time.Duration
	Seed            uint64
}

// ConfiguredDeployment is a platform that publishes a given configuration, and
// the endpoints that the configuration lists, at the addresses listed there.
type ConfiguredDeployment struct {
	Platform  *Platform
	Recorder  *Recorder
	Endpoints []*Endpoint
}

// NewConfiguredDeployment starts the platform and all endpoints. Every endpoint
// must have a loopback address.
func NewConfiguredDeployment(options ConfiguredDeploymentOptions) (*ConfiguredDeployment, error) {
	bundle, err := config.NewBundle(options.Manifest, options.Documents)
	if err != nil {
		return nil, err
	}
	if err := checkLoopback(bundle); err != nil {
		return nil, err
	}
	c := &ConfiguredDeployment{Platform: NewPlatform(), Recorder: NewRecorder()}
	if err := c.start(options, bundle); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close stops the platform and all endpoints.
func (c *ConfiguredDeployment) Close() {
	c.Platform.Close()
	for _, e := range c.Endpoints {
		e.Close()
	}
}

func (c *ConfiguredDeployment) start(options ConfiguredDeploymentOptions, bundle *config.Bundle) error {
	address := options.PlatformAddress
	if address == "" {
		address = loopbackFreePort
	}
	if err := c.Platform.StartAt(address); err != nil {
		return err
	}
	for name := range bundle.Services() {
		if err := c.startIndex(options, bundle.Index(name)); err != nil {
			return err
		}
	}
	return c.Platform.Publish(options.Manifest, options.Documents)
}

func (c *ConfiguredDeployment) startIndex(options ConfiguredDeploymentOptions, index *config.Index) error {
	for _, endpoint := range index.Endpoints {
		e := NewEndpoint(EndpointOptions{
			ID:             endpoint.ID,
			Service:        index.Service,
			Address:        endpoint.Address,
			Slots:          endpoint.Slots,
			SlotWait:       defaultSlotWait,
			MaxConnections: endpoint.MaxConnections,
			ConnectCost:    time.Duration(endpoint.ConnectCostMS) * time.Millisecond,
			ServiceTime:    options.ServiceTime,
			Seed:           hashPair(options.Seed, uint64(len(c.Endpoints))),
			HeldSnapshots:  heldSnapshots(index, endpoint.ID),
			Recorder:       c.Recorder,
		})
		if err := e.Start(); err != nil {
			return err
		}
		c.Endpoints = append(c.Endpoints, e)
	}
	return nil
}

// heldSnapshots returns what an endpoint holds according to the index. Snapshots of
// which it holds no range are included.
func heldSnapshots(index *config.Index, endpointID string) []HeldSnapshot {
	var held []HeldSnapshot
	for _, snapshot := range index.Snapshots {
		held = append(held, HeldSnapshot{Snapshot: snapshot.ID, Ranges: heldRanges(snapshot, endpointID)})
	}
	return held
}

// checkLoopback returns an error if an endpoint's address is not on loopback.
func checkLoopback(bundle *config.Bundle) error {
	for id, endpoint := range bundle.Endpoints() {
		address, err := netip.ParseAddrPort(endpoint.Address)
		if err != nil || !address.Addr().IsLoopback() {
			return result.FieldErrorf(result.DocumentInvalid, id+".address", "%q is not a loopback IP and port", endpoint.Address)
		}
	}
	return nil
}
