package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumlug/gypsumlug/api/admin"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	adminTimeout       = 10 * time.Second
	maxAdminReplyBytes = 64 << 20
)

// adminFlags are the flags of commands that read the admin API of a host.
type adminFlags struct {
	Admin string `help:"Admin address of a host, IP:port." default:"127.0.0.1:7402" placeholder:"IP:PORT"`
}

// get fetches a path of the admin API and decodes the JSON body.
func (f *adminFlags) get(ctx context.Context, path string, target any) error {
	if _, err := netip.ParseAddrPort(f.Admin); err != nil {
		return result.FieldErrorf(result.Usage, "--admin", "got %q, want an IP and a port", f.Admin)
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Admin+path, http.NoBody)
	if err != nil {
		return result.FieldErrorf(result.Usage, "--admin", "%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result.Errorf(result.Unreachable, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAdminReplyBytes))
	if err != nil {
		return result.Errorf(result.Unreachable, "reading the reply failed: %v", err)
	}
	if response.StatusCode != http.StatusOK {
		return adminError(f.Admin, response.Status, data)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return result.Errorf(result.Unreachable, "%s is not an admin API: %v", f.Admin, err)
	}
	return nil
}

// adminError returns the error for a reply with a status other than 200.
func adminError(address, status string, data []byte) error {
	var e admin.Error
	if err := json.Unmarshal(data, &e); err != nil || e.Code == 0 {
		return result.Errorf(result.Unreachable, "%s is not an admin API: it replied %s", address, status)
	}
	return result.Errorf(result.Code(e.Code), "%s %s", e.Meaning, e.Detail)
}
