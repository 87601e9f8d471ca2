package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// checkRoute checks one route by itself and against the services.
func (k *checker) checkRoute(r *routing.Route) {
	k.checkMatch(r)
	k.checkTimes(r)
	k.checkTargets(r)
	if len(r.Shards) > 0 {
		k.checkShards(r)
	}
	k.checkWeights(r)
}

// checkMatch checks what a route matches.
func (k *checker) checkMatch(r *routing.Route) {
	entry := entryOf(r)
	if r.Name == "" {
		k.add(Error, entry, "the route has no name", "give it a name")
	}
	if r.Host == "" {
		k.add(Error, entry, "the route has no host", "give it the host of its requests")
	}
	if strings.ContainsAny(r.Host, ":/ ") {
		k.add(NeverMatches, entry, fmt.Sprintf("the host %q has a port, a slash or a space, which is not part of the host that is compared", r.Host), "give the name alone")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		k.add(Error, entry, fmt.Sprintf("the prefix %q does not begin and end with a slash", r.Prefix), "add the slash")
	}
	if strings.ContainsAny(r.Prefix, "?#") {
		k.add(NeverMatches, entry, fmt.Sprintf("the prefix %q has a query, and paths are compared without one", r.Prefix), "leave the query out")
	}
}

// checkTimes checks the times and the attempts of a route.
func (k *checker) checkTimes(r *routing.Route) {
	entry := entryOf(r)
	if r.Timeout <= 0 {
		k.add(Error, entry, "the timeout is not above 0, so that each request ends at once", "give a timeout")
	}
	if r.Target < 0 {
		k.add(Error, entry, "the target latency is below 0", "give a positive one")
	}
	if r.Timeout > 0 && r.Target > r.Timeout {
		k.add(Contradiction, entry, fmt.Sprintf("the target latency %v is above the timeout %v, so that no answer is late", r.Target, r.Timeout), "lower the target or raise the timeout")
	}
	if r.MaxReplicas < 0 {
		k.add(Error, entry, "the number of attempts is below 0", "give a positive one")
	}
}

// checkTargets checks that a route leads to services that the configuration has.
func (k *checker) checkTargets(r *routing.Route) {
	entry := entryOf(r)
	services := servicesOf(r)
	if len(services) == 0 {
		k.add(Error, entry, "the route names no service", "name one, or remove the route")
	}
	if len(r.Shards) > 0 && len(r.Parts) > 0 {
		k.add(Error, entry, "the route has shards and a service", "leave one of them out")
	}
	for _, service := range services {
		if _, known := k.config.Services[service]; !known {
			k.add(Error, entry, fmt.Sprintf("the configuration has no service %q", service), "add the service, or name another one")
		}
	}
}

// checkShards checks a route that fans out.
func (k *checker) checkShards(r *routing.Route) {
	entry := entryOf(r)
	sorted := slices.Clone(r.Shards)
	slices.Sort(sorted)
	if len(slices.Compact(sorted)) < len(r.Shards) {
		k.add(Error, entry, "a service is named as two shards", "name each shard once")
	}
	if r.LeastShards > len(r.Shards) {
		k.add(Contradiction, entry, fmt.Sprintf("an answer needs %d shards of %d", r.LeastShards, len(r.Shards)), "lower the least share to at most 1")
	}
	if r.TopRecords <= 0 {
		k.add(Error, entry, "answers have no records", "give the number of records")
	}
	if !r.Repeatable {
		k.add(Contradiction, entry, "requests that fan out are repeated at other replicas, and the route's may run once only", "make the route safe, or send it to one service")
	}
}

// checkWeights checks the weights of the services among which a route divides its requests.
func (k *checker) checkWeights(r *routing.Route) {
	entry := entryOf(r)
	total := 0.0
	for _, p := range r.Parts {
		total += max(p.Weight, 0)
		switch {
		case p.Weight < 0:
			k.add(Error, entry, fmt.Sprintf("the weight of service %q is below 0", p.Service), "give a positive weight")
		case p.Weight == 0:
			k.add(NeverMatches, entry, fmt.Sprintf("service %q has the weight 0 and gets no requests", p.Service), "give it a weight, or leave it out")
		}
	}
	if len(r.Parts) > 0 && total == 0 {
		k.add(Error, entry, "no service has a positive weight", "give a positive weight")
	}
}

// checkShadowedRoutes finds routes whose requests another one takes: of two with the same host
// and prefix, the first one in the configuration is chosen.
func (k *checker) checkShadowedRoutes() {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		m := match{strings.ToLower(r.Host), r.Prefix}
		if name, taken := first[m]; taken {
			k.add(NeverMatches, entryOf(r), fmt.Sprintf("route %q comes before it and has the same host and prefix", name), "remove one of them, or change the prefix")
			continue
		}
		first[m] = r.Name
	}
}
