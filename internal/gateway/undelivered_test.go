package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// nopCodec is for connections that never open.
type nopCodec struct{}

func (nopCodec) Encode(buf []byte, _ *dispatch.Request, _ time.Duration) []byte { return buf }

func (nopCodec) Decode(*dispatch.Request, *http.Response, []byte) (dispatch.Reply, forward.Owner) {
	return dispatch.Reply{}, forward.OwnerOther
}

type nopObserver struct{}

func (nopObserver) Dialed(string, error)   {}
func (nopObserver) Abandoned(string, bool) {}

// Guards against an outcome that is said to be unknown of a request of which no byte was
// written: replicas whose machines are silent accept no connection, and the last attempt
// waits for one until the deadline.
func TestRequestThatReachedNoReplicaIsSaidNotToHaveRun(t *testing.T) {
	for _, timeout := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, path := range []string{"/order/a", "/safe/a"} {
			t.Run(fmt.Sprint(path, ", ", timeout), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					d := deployment{hosts: 1, dataCentres: 1, shards: 1, replicasPerShard: 3, attempts: 2, ratio: 1, slack: 100, target: 50 * time.Millisecond}
					sim := newReplicaSimulator(1)
					view := d.view(sim)
					view.Config.Match("x", path).Timeout = timeout
					client := forward.New(nopCodec{}, func(ctx context.Context, _ string) (net.Conn, error) {
						<-ctx.Done()
						return nil, ctx.Err()
					}, nopObserver{}, nil)
					var targets []forward.Target
					for key := range view.Replicas {
						targets = append(targets, forward.Target{Key: key, Address: key, MaxConnections: 1})
					}
					client.SetTargets(targets)
					host := d.startHostsWithSender(sim, view, 1, client)[0]
					for n := range 3 {
						started := sim.now()
						a := host.Serve(context.Background(), &gateway.Request{Message: dispatch.Message{ID: fmt.Sprint(n), Method: "POST", Host: "x", Target: path}, Path: path})
						g.Expect(a.Code.Class()).To(Equal(result.ClassNotRun), a.Code.String())
						g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
						g.Expect(sim.now() - started).To(BeNumerically("<=", timeout))
					}
					time.Sleep(drainTime)
				})
			})
		}
	}
}
