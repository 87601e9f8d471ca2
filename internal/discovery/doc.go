// Package discovery decides how a host keeps its view of the routes and replicas
// consistent with the platform's store.
//
// A few hosts read the store for the whole fleet. The others learn from heartbeats
// whether their state is still current, and fetch newer state from a peer. A host
// whose state was not confirmed for some time reads the store itself. Hosts find
// each other through a few seed addresses, some of which may be stale.
//
// [Machine] is pure: it does no I/O and reads no clock.
package discovery
