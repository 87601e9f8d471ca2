package daemon

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/endpointhttp"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func (d *Daemon) pollPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.refresh(ctx); err != nil {
			d.log.Warn().Err(err).Msg("configuration not read")
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (d *Daemon) refresh(ctx context.Context) error {
	data, err := d.platform.Manifest(ctx)
	if err != nil {
		return err
	}
	manifest, err := config.ParseManifest(data)
	if err != nil {
		return err
	}
	if b := d.currentView().Bundle; b != nil && manifest.Revision <= b.Revision {
		return nil
	}
	documents := make(map[string][]byte)
	for _, ref := range manifest.Documents {
		if documents[ref.Hash], err = d.platform.Document(ctx, ref.Hash); err != nil {
			return err
		}
	}
	bundle, err := config.NewBundle(data, documents)
	if err != nil {
		return err
	}
	d.publish(&view.View{At: d.clock.now(), Self: d.self, Bundle: bundle, Ready: true})
	return nil
}

func (d *Daemon) publish(v *view.View) {
	d.viewMu.Lock()
	d.view = v
	d.viewMu.Unlock()
	for id, e := range v.Bundle.Endpoints() {
		d.endpoints.SetTarget(endpointhttp.Target{Endpoint: id, Address: e.Address, Warm: 1, Max: e.Slots})
	}
	d.coordinator.setView(v)
}
