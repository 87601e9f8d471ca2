//go:build review

// Command 6 is the script of case 6: an order that crashes the replicas that run it comes again
// and again, while other orders to the same path, with other queries, complete.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/review/lab"
	"github.com/gypsumlug/gypsumlug/review/poison"
)

const (
	hostCount = 3
	// The service as in the site file; the requests are as many as those of the site's least
	// frequent kind.
	replicaCount   = 5
	maxConnections = 100
	ordinaryPerS   = 22.5
	timeLimit      = 8 * time.Second
	// The deadly request comes first after warmUp, and then every comesAgain, at one host
	// after the other.
	warmUp     = 6 * time.Second
	comesAgain = 2 * time.Second
	runTime    = 60 * time.Second
	// allowed is the number of late retries that the rule allows.
	allowed = 3

	httpHost      = "facturacion.example"
	path          = "/paginas/cobrar"
	deadlyQuery   = "pagina=1931"
	deadlyCaller  = "127.0.0.9"
	callerAddress = "127.0.1.%d"
	callers       = 40
)

var service = poison.Service{Name: "facturacion-paginas", Slots: 4, Work: 220 * time.Millisecond}

func main() { lab.Main(run) }

func run(dir string, record *lab.Record) (int, error) {
	platform, err := lab.StartPlatform()
	if err != nil {
		return 0, err
	}
	s := &poison.Servers{Platform: platform, Record: record, DeadlyQuery: deadlyQuery, BackAfter: 2 * time.Second}
	for range replicaCount {
		if err := s.Start(service); err != nil {
			return 0, err
		}
	}
	platform.Configure([]lab.Route{{
		Name: "r-page", Host: httpHost, Prefix: "/paginas/", Type: "unsafe", Service: service.Name, TimeoutMS: 8000, TargetMS: 800, MaxAttempts: 2,
	}}, maxConnections)
	hosts, err := poison.StartHosts(dir, platform, hostCount)
	if err != nil {
		return 0, err
	}
	r := &requesters{hosts: hosts, record: record, end: time.Now().Add(runTime), ordinary: map[int]int{}, deadly: map[int]int{}}
	for i := range callers {
		r.running.Go(func() { r.sendOrdinary(i) })
	}
	r.running.Go(r.sendDeadly)
	r.running.Wait()
	return check(record, hosts, s, r), nil
}

// requesters send the requests.
type requesters struct {
	hosts   []*lab.Host
	record  *lab.Record
	end     time.Time
	running sync.WaitGroup
	sent    atomic.Int64
	mu      sync.Mutex
	// ordinary and deadly count the answers by status; zero for none.
	ordinary, deadly map[int]int
}

// sendOrdinary sends the requests of one caller, each with another query to the one path, at
// random hosts. With OWN_PATHS=1 each has a path of its own instead.
func (r *requesters) sendOrdinary(caller int) {
	client := poison.NewClient(fmt.Sprintf(callerAddress, caller+1))
	mean := callers / ordinaryPerS * float64(time.Second)
	for {
		time.Sleep(time.Duration(mean * (0.5 + rand.Float64())))
		if time.Now().After(r.end) {
			return
		}
		target := fmt.Sprintf("%s?pagina=%d-%d", path, caller, rand.IntN(10000))
		if os.Getenv("OWN_PATHS") == "1" {
			target = fmt.Sprintf("%s/%d-%d", path, caller, rand.IntN(10000))
		}
		id := fmt.Sprintf("ordinary-%d", r.sent.Add(1))
		status := poison.Send(r.record, client, r.hosts[rand.IntN(len(r.hosts))], poison.Request{Method: http.MethodPost, HTTPHost: httpHost, Target: target, ID: id, Limit: timeLimit})
		r.count(r.ordinary, status)
	}
}

// sendDeadly sends the deadly request again and again: the same caller, path, query and body.
func (r *requesters) sendDeadly() {
	client := poison.NewClient(deadlyCaller)
	time.Sleep(warmUp)
	for n := 0; time.Now().Before(r.end); n++ {
		id := fmt.Sprintf("deadly-%03d", n)
		status := poison.Send(r.record, client, r.hosts[n%len(r.hosts)], poison.Request{Method: http.MethodPost, HTTPHost: httpHost, Target: path + "?" + deadlyQuery, ID: id, Limit: timeLimit})
		r.count(r.deadly, status)
		time.Sleep(comesAgain)
	}
}

func (r *requesters) count(counts map[int]int, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts[status]++
}

// check counts the retries of the deadly request that reached replicas later than the stable
// window after the third crash, sent by hosts in touch.
func check(record *lab.Record, hosts []*lab.Host, s *poison.Servers, r *requesters) int {
	byName := map[string]*lab.Host{}
	for _, h := range hosts {
		byName[h.Name] = h
	}
	runs := slices.DeleteFunc(s.Executions(), func(e poison.Execution) bool { return !e.Deadly })
	slices.SortFunc(runs, func(a, b poison.Execution) int { return a.At.Compare(b.At) })
	retries := map[string]bool{}
	for i, e := range runs {
		counts := lab.Trouble() && i >= 3 && byName[e.Via].InTouch(e.At) && e.At.Sub(runs[2].At) > lab.StableWindow
		if counts {
			retries[e.Request] = true
		}
		record.Line("%s ran at %s, sent on by %s, counts: %t", e.Request, e.Replica, e.Via, counts)
	}
	record.Say("the deadly request ran %d times; its attempts were answered %v, ordinary requests %v", len(runs), r.deadly, r.ordinary)
	record.Say("BUDGET: it reached replicas in %d retries later than the stable window after the third crash; %d are allowed", len(retries), allowed)
	if len(retries) > allowed {
		return lab.Broken
	}
	return lab.Held
}
