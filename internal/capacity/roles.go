package capacity

const (
	microsecondsPerSecond = 1e6
	bytesPerMiB           = 1 << 20
	bytesPerKB            = 1000
)

func (b *tableBuilder) addCoordinatorRows() {
	s := b.sizes
	subRequests := s.subRequestsPerHost()
	inFlight := subRequests * s.AnswerSeconds
	b.addComputed(roleCoordinator, "queries", s.queriesPerHost(), "1/s", "platform's balancer", "%g / %d hosts", s.QueriesPerSecond, s.Hosts)
	b.addComputed(roleCoordinator, "sub-requests", subRequests, "1/s", "package query", "queries × %d shards", s.FanOut)
	b.addComputed(roleCoordinator, "sub-requests in flight, at most", inFlight, "", "package query", "sub-requests × %g s", s.AnswerSeconds)
	b.addComputed(roleCoordinator, "relays of one query", s.relaysPerQuery(), "", "package roster, rendezvous hashing", "different hosts among %d draws of %.0f", s.FanOut, s.hostsPerDataCentre())
	b.addComputed(roleCoordinator, "peer frames sent", s.queriesPerHost()*s.relaysPerQuery(), "1/s", "package peer, one frame a relay", "queries × relays of one query")
	b.addScaled(roleCoordinator, "processor, coordinator with its own dispatches", slopeDirect, subRequests/microsecondsPerSecond, "cores", "one goroutine steps the machine", "sub-requests")
	b.addScaled(roleCoordinator, "peer traffic sent", slopeDispatch, subRequests/bytesPerKB, "kB/s", "package peerwire", "sub-requests")
	b.addScaled(roleCoordinator, "peer traffic received", slopeReply, subRequests/bytesPerKB, "kB/s", "package peerwire", "sub-requests")
	b.addScaled(roleCoordinator, "memory of sub-requests in flight", slopeSubRequest, inFlight/bytesPerMiB, "MiB", "package coordinator", "sub-requests in flight")
	b.addScaled(roleCoordinator, "memory of beliefs about endpoints", slopeEndpointState, float64(s.Endpoints)/bytesPerMiB, "MiB", "package endpoint", "all endpoints")
	b.addComputed(roleCoordinator, "permits kept", b.keptPermits(), "", "package permit, bounded by the service's limit", "queries × %g × %g s", s.SubmitShare, s.PermitSeconds)
	b.addScaled(roleCoordinator, "memory of permits", slopePermit, b.keptPermits()/bytesPerMiB, "MiB", "package permit", "permits kept")
	b.addScaled(roleCoordinator, "memory of an idle host", slopeIdleHost, 1, "MiB", "the whole process", "one host")
}

// keptPermits returns the number of permits that one host keeps.
func (b *tableBuilder) keptPermits() float64 {
	return b.sizes.queriesPerHost() * b.sizes.SubmitShare * b.sizes.PermitSeconds
}

func (b *tableBuilder) addRelayRows() {
	s := b.sizes
	connections := s.endpointsPerHost() * float64(s.connectionsPerRelay())
	b.addComputed(roleRelay, "endpoints", s.endpointsPerHost(), "", "package roster", "%d × %d relays / %d hosts", s.Endpoints, s.RelaysPerEndpoint, s.Hosts)
	b.addComputed(roleRelay, "dispatches", s.subRequestsPerHost(), "1/s", "package relay", "as many as the host's own sub-requests")
	b.addComputed(roleRelay, "sub-requests of one endpoint", s.subRequestsPerEndpoint(), "1/s", "the endpoint's slots", "all sub-requests / %d endpoints", s.Endpoints)
	b.addComputed(roleRelay, "service time that fills the slots", 1000*float64(s.Slots)/s.subRequestsPerEndpoint(), "ms", "the endpoint's slots", "%d slots / sub-requests of one endpoint", s.Slots)
	b.addComputed(roleRelay, "connections of a full mesh to one endpoint", float64(s.Hosts), "", "not used", "one for each host; the cap is %d", s.MaxConnections)
	b.addComputed(roleRelay, "connections to one endpoint, at most", float64(s.connectionsPerRelay()), "", "package roster, share of the cap", "%d / %d relays / %d generations", s.MaxConnections, s.RelaysPerEndpoint, s.ConcurrentRelaySets)
	b.addComputed(roleRelay, "connections of the host, at most", connections, "", "package endpointhttp", "endpoints × share")
	b.addScaled(roleRelay, "memory of connections", slopeConnection, connections/bytesPerMiB, "MiB", "package endpointhttp", "connections of the host")
	b.addScaled(roleRelay, "processor, coordinator and relay together", slopeRelayed, s.subRequestsPerHost()/microsecondsPerSecond, "cores", "relay machine, peer and endpoint connections", "sub-requests")
}

func (b *tableBuilder) addControlRows() {
	b.addScaled(roleControl, "processor", slopeControlCPU, 1, "% of a core", "control machine and codec; limit 2.4", "simulated fleet of 570 hosts")
	b.addScaled(roleControl, "memory", slopeControlMemory, 1, "MiB", "configuration, roster, hints; limit 128", "simulated fleet of 570 hosts")
	b.addScaled(roleControl, "heartbeats sent", slopeHeartbeats, 1, "1/s", "package roster, fixed number of peers", "simulated fleet of 570 hosts")
	b.addScaled(roleControl, "heartbeat traffic", slopeHeartbeatTraffic, 1, "kB/s", "limit 30 with fetches", "simulated fleet of 570 hosts")
	b.addScaled(roleControl, "fetch traffic", slopeFetchTraffic, 1, "kB/s", "changed documents by hash from peers", "simulated fleet of 570 hosts")
	b.addScaled(roleControl, "memory of the quarantine", slopeSuspect, float64(b.sizes.Suspects)/bytesPerKB, "kB", "package quarantine, bounded", "suspects")
	b.addScaled(roleControl, "a revision is in force everywhere after", slopePropagationTime, 1, "s", "heartbeats carry the revision; limit 15", "simulated fleet of 570 hosts")
	b.addComputed(roleWatcher, "watchers of the fleet", float64(b.sizes.DataCentres*b.sizes.WatchersPerDataCentre), "", "package roster, rendezvous hashing", "%d data centres × %d", b.sizes.DataCentres, b.sizes.WatchersPerDataCentre)
}

func (b *tableBuilder) addPlatformRows() {
	b.addScaled(rolePlatform, "calls", slopePlatformCalls, 1, "1/s", "watchers, rare polls; limit 2000", "simulated fleet of 570 hosts")
	b.addComputed(rolePlatform, "calls if every host watched and fetched", b.platformCallsWithoutWatchers(), "1/s", "not used", "%d hosts × (2 calls a change + one watch in 30 s)", b.sizes.Hosts)
	b.addScaled(rolePlatform, "calls of the whole fleet starting at once", slopeStartCalls, 1, "", "jitter, peers before the platform", "simulated fleet of 570 hosts")
	b.addScaled(rolePlatform, "most calls in one second of that start", slopeStartPeakCalls, 1, "1/s", "jitter, peers before the platform", "simulated fleet of 570 hosts")
	b.addScaled(rolePlatform, "the fleet is ready after", slopeStartTime, 1, "s", "control machine", "simulated fleet of 570 hosts")
}

// platformCallsWithoutWatchers returns the rate of platform calls if each host
// watched the platform and fetched changed documents from it. In fact only a few
// hosts watch, and hosts ask peers for documents before the platform.
func (b *tableBuilder) platformCallsWithoutWatchers() float64 {
	const watchIntervalSeconds = 30
	return float64(b.sizes.Hosts) * (2*b.sizes.ChangesPerDay/secondsPerDay + 1.0/watchIntervalSeconds)
}

func (b *tableBuilder) addEventRows() {
	s := b.sizes
	rackHosts := float64(s.HostsPerRack)
	dataCentreHosts := s.hostsPerDataCentre()
	regionHosts := float64(s.Hosts) / float64(s.Regions)
	b.addComputed(roleEvent, "hosts that come or go", (s.FailuresPerDay+s.RestartsPerDay)/secondsPerDay*3600, "1/h", "package roster", "(%g + %g) a day", s.FailuresPerDay, s.RestartsPerDay)
	b.addComputed(roleEvent, "endpoints that change a relay for one host lost", s.endpointsPerHost(), "", "rendezvous hashing moves only these", "endpoints of one relay")
	b.addComputed(roleEvent, "connections opened for one host lost", s.endpointsPerHost()*float64(s.connectionsPerRelay()), "", "within the generations' share", "endpoints × share, at %g ms each", s.ConnectMS)
	b.addComputed(roleEvent, "load of the others when a rack is lost", 100*(float64(s.Hosts)/(float64(s.Hosts)-rackHosts)-1), "% more", "balancer", "%g hosts of %d", rackHosts, s.Hosts)
	b.addComputed(roleEvent, "endpoints with no relay left when a rack is lost", s.endpointsWithoutRelay(rackHosts), "", "others take over within the roster's timeout", "all %d relays in the rack", s.RelaysPerEndpoint)
	b.addComputed(roleEvent, "load of the others when a data centre is lost", 100*(float64(s.Hosts)/(float64(s.Hosts)-dataCentreHosts)-1), "% more", "balancer", "%.0f hosts of %d", dataCentreHosts, s.Hosts)
	b.addComputed(roleEvent, "hosts that go on serving on each side of a cut region link", regionHosts, "", "each side assigns relays among the hosts it hears", "%d / %d regions", s.Hosts, s.Regions)
}

// endpointsWithoutRelay returns the expected number of endpoints whose relays are
// all among the given number of hosts of one data centre.
func (s Sizes) endpointsWithoutRelay(hosts float64) float64 {
	probability := 1.0
	for i := range s.RelaysPerEndpoint {
		probability *= (hosts - float64(i)) / (s.hostsPerDataCentre() - float64(i))
	}
	return probability * float64(s.Endpoints) / float64(s.DataCentres)
}
