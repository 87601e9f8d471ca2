package capacity

const (
	microsPerSecond = 1e6
	mib             = 1 << 20
	kilobyte        = 1000
)

func (b *builder) coordinator() {
	s := b.sizes
	sub := s.subRequestsPerHost()
	inFlight := sub * s.AnswerSeconds
	b.given(roleCoordinator, "queries", s.queriesPerHost(), "1/s", "platform's balancer", "%g / %d hosts", s.QueriesPerSecond, s.Hosts)
	b.given(roleCoordinator, "sub-requests", sub, "1/s", "package query", "queries × %d shards", s.FanOut)
	b.given(roleCoordinator, "sub-requests in flight, at most", inFlight, "", "package query", "sub-requests × %g s", s.AnswerSeconds)
	b.given(roleCoordinator, "relays of one query", s.relaysPerQuery(), "", "package roster, rendezvous hashing", "different hosts among %d draws of %.0f", s.FanOut, s.hostsPerDataCentre())
	b.given(roleCoordinator, "peer frames sent", s.queriesPerHost()*s.relaysPerQuery(), "1/s", "package peer, one frame a relay", "queries × relays of one query")
	b.scaled(roleCoordinator, "processor, coordinator with its own dispatches", slopeDirect, sub/microsPerSecond, "cores", "one goroutine steps the machine", "sub-requests")
	b.scaled(roleCoordinator, "peer traffic sent", slopeDispatch, sub/kilobyte, "kB/s", "package peerwire", "sub-requests")
	b.scaled(roleCoordinator, "peer traffic received", slopeReply, sub/kilobyte, "kB/s", "package peerwire", "sub-requests")
	b.scaled(roleCoordinator, "memory of sub-requests in flight", slopeOutstanding, inFlight/mib, "MiB", "package coordinator", "sub-requests in flight")
	b.scaled(roleCoordinator, "memory of beliefs about endpoints", slopeBelief, float64(s.Endpoints)/mib, "MiB", "package endpoint", "all endpoints")
	b.given(roleCoordinator, "permits kept", b.permits(), "", "package permit, bounded by the service's limit", "queries × %g × %g s", s.SubmitShare, s.PermitSeconds)
	b.scaled(roleCoordinator, "memory of permits", slopePermit, b.permits()/mib, "MiB", "package permit", "permits kept")
	b.scaled(roleCoordinator, "memory of an idle host", slopeIdle, 1, "MiB", "the whole process", "one host")
}

func (b *builder) permits() float64 {
	return b.sizes.queriesPerHost() * b.sizes.SubmitShare * b.sizes.PermitSeconds
}

func (b *builder) relay() {
	s := b.sizes
	connections := s.endpointsPerHost() * float64(s.share())
	b.given(roleRelay, "endpoints", s.endpointsPerHost(), "", "package roster", "%d × %d relays / %d hosts", s.Endpoints, s.RelaysPerEndpoint, s.Hosts)
	b.given(roleRelay, "dispatches", s.subRequestsPerHost(), "1/s", "package relay", "as many as the host's own sub-requests")
	b.given(roleRelay, "sub-requests of one endpoint", s.subRequestsPerEndpoint(), "1/s", "the endpoint's slots", "all sub-requests / %d endpoints", s.Endpoints)
	b.given(roleRelay, "service time that fills the slots", 1000*float64(s.Slots)/s.subRequestsPerEndpoint(), "ms", "the endpoint's slots", "%d slots / sub-requests of one endpoint", s.Slots)
	b.given(roleRelay, "connections of a full mesh to one endpoint", float64(s.Hosts), "", "not used", "one for each host; the cap is %d", s.MaxConnections)
	b.given(roleRelay, "connections to one endpoint, at most", float64(s.share()), "", "package roster, share of the cap", "%d / %d relays / %d generations", s.MaxConnections, s.RelaysPerEndpoint, s.Generations)
	b.given(roleRelay, "connections of the host, at most", connections, "", "package endpointhttp", "endpoints × share")
	b.scaled(roleRelay, "memory of connections", slopeConnection, connections/mib, "MiB", "package endpointhttp", "connections of the host")
	b.scaled(roleRelay, "processor, coordinator and relay together", slopeRelayed, s.subRequestsPerHost()/microsPerSecond, "cores", "relay machine, peer and endpoint connections", "sub-requests")
}

func (b *builder) control() {
	b.scaled(roleControl, "processor", slopeControlCore, 1, "% of a core", "control machine and codec; limit 2.4", "simulated fleet of 570 hosts")
	b.scaled(roleControl, "memory", slopeControlMemory, 1, "MiB", "configuration, roster, hints; limit 128", "simulated fleet of 570 hosts")
	b.scaled(roleControl, "heartbeats sent", slopeHeartbeats, 1, "1/s", "package roster, fixed number of peers", "simulated fleet of 570 hosts")
	b.scaled(roleControl, "heartbeat traffic", slopeControlBytes, 1, "kB/s", "limit 30 with fetches", "simulated fleet of 570 hosts")
	b.scaled(roleControl, "fetch traffic", slopeControlFetch, 1, "kB/s", "changed documents by hash from peers", "simulated fleet of 570 hosts")
	b.scaled(roleControl, "memory of the quarantine", slopeSuspect, float64(b.sizes.Suspects)/kilobyte, "kB", "package quarantine, bounded", "suspects")
	b.scaled(roleControl, "a revision is in force everywhere after", slopeSpread, 1, "s", "heartbeats carry the revision; limit 15", "simulated fleet of 570 hosts")
	b.given(roleWatcher, "watchers of the fleet", float64(b.sizes.DataCentres*b.sizes.WatchersPerDataCentre), "", "package roster, rendezvous hashing", "%d data centres × %d", b.sizes.DataCentres, b.sizes.WatchersPerDataCentre)
}

func (b *builder) platform() {
	b.scaled(rolePlatform, "calls", slopePlatformCalls, 1, "1/s", "watchers, rare polls; limit 2000", "simulated fleet of 570 hosts")
	b.given(rolePlatform, "calls if every host watched and fetched", b.everyHost(), "1/s", "not used", "%d hosts × (2 calls a change + one watch in 30 s)", b.sizes.Hosts)
	b.scaled(rolePlatform, "calls of the whole fleet starting at once", slopeStartCalls, 1, "", "jitter, peers before the platform", "simulated fleet of 570 hosts")
	b.scaled(rolePlatform, "most calls in one second of that start", slopeStartPeak, 1, "1/s", "jitter, peers before the platform", "simulated fleet of 570 hosts")
	b.scaled(rolePlatform, "the fleet is ready after", slopeStartTime, 1, "s", "control machine", "simulated fleet of 570 hosts")
}

// everyHost is the rate of calls without watchers and peers.
func (b *builder) everyHost() float64 {
	const watchSeconds = 30
	return float64(b.sizes.Hosts) * (2*b.sizes.ChangesPerDay/secondsPerDay + 1.0/watchSeconds)
}

func (b *builder) events() {
	s := b.sizes
	rack := float64(s.HostsPerRack)
	centre := s.hostsPerDataCentre()
	region := float64(s.Hosts) / float64(s.Regions)
	b.given(roleEvent, "hosts that come or go", (s.FailuresPerDay+s.RestartsPerDay)/secondsPerDay*3600, "1/h", "package roster", "(%g + %g) a day", s.FailuresPerDay, s.RestartsPerDay)
	b.given(roleEvent, "endpoints that change a relay for one host lost", s.endpointsPerHost(), "", "rendezvous hashing moves only these", "endpoints of one relay")
	b.given(roleEvent, "connections opened for one host lost", s.endpointsPerHost()*float64(s.share()), "", "within the generations' share", "endpoints × share, at %g ms each", s.ConnectMS)
	b.given(roleEvent, "load of the others when a rack is lost", 100*(float64(s.Hosts)/(float64(s.Hosts)-rack)-1), "% more", "balancer", "%g hosts of %d", rack, s.Hosts)
	b.given(roleEvent, "endpoints with no relay left when a rack is lost", s.lostRelays(rack), "", "others take over within the roster's timeout", "all %d relays in the rack", s.RelaysPerEndpoint)
	b.given(roleEvent, "load of the others when a data centre is lost", 100*(float64(s.Hosts)/(float64(s.Hosts)-centre)-1), "% more", "balancer", "%.0f hosts of %d", centre, s.Hosts)
	b.given(roleEvent, "hosts that go on serving on each side of a cut region link", region, "", "each side assigns relays among the hosts it hears", "%d / %d regions", s.Hosts, s.Regions)
}

// lostRelays is the expected number of endpoints all of whose relays are among
// the given hosts of one data centre.
func (s Sizes) lostRelays(hosts float64) float64 {
	share := 1.0
	for i := range s.RelaysPerEndpoint {
		share *= (hosts - float64(i)) / (s.hostsPerDataCentre() - float64(i))
	}
	return share * float64(s.Endpoints) / float64(s.DataCentres)
}
