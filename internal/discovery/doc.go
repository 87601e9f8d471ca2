// Package discovery decides how a host's view of the routes and replicas stays
// current with the platform's store.
//
// A few hosts read the store for all. The others hear from them in heartbeats
// that what they know is still true, and fetch what is new from a peer. A host
// that has heard nothing fresh for a while reads the store itself. Hosts find
// each other from a few seeds, which may be stale.
//
// [Machine] is pure: it does no I/O and reads no clock.
package discovery
