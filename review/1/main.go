//go:build review

// Command 1 is the script of case 1: most hosts are killed at one moment, right before a
// replica is taken away, and the others go on sending orders to it until it ends.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/review/lab"
)

const (
	hostCount = 7
	// victims is the number of hosts that are killed at once, 0.57 of them.
	victims      = 4
	slots, queue = 6, 12
	work         = 150 * time.Millisecond
	perSecond    = 40
	rounds       = 9
	// Within a round, counted from the kill.
	newsBefore   = 100 * time.Millisecond
	leavesAfter  = 200 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	// servesOn is how long the replica that leaves serves after the store has accepted the
	// removal of its entry: the drain time and a little longer.
	servesOn  = lab.DrainTime + 2*time.Second
	roundTime = 11 * time.Second
	timeLimit = 8 * time.Second
)

func main() { lab.Main(run) }

func run(dir string, record *lab.Record) (int, error) {
	platform, err := lab.StartPlatform()
	if err != nil {
		return 0, err
	}
	d := &deployment{platform: platform, record: record}
	for range 2 {
		if _, err := d.addReplica(); err != nil {
			return 0, err
		}
	}
	d.configure()
	zones := make([]string, hostCount)
	for i := range zones {
		zones[i] = "salto"
	}
	if d.hosts, err = lab.NewHosts(dir, platform.Address, zones); err != nil {
		return 0, err
	}
	for _, h := range d.hosts {
		if err := h.Start(); err != nil {
			return 0, err
		}
	}
	if err := lab.AwaitReady(d.hosts, 10*time.Second); err != nil {
		return 0, err
	}
	c := &callers{hosts: d.hosts, requester: lab.NewRequester(true), stop: make(chan struct{}), answers: map[string]lab.Answer{}}
	go c.send()
	for range rounds {
		if err := d.round(); err != nil {
			return 0, err
		}
	}
	close(c.stop)
	c.running.Wait()
	return check(record, d, c), nil
}

// deployment is the platform, the hosts and the replicas of a service for orders.
type deployment struct {
	platform *lab.Platform
	record   *lab.Record
	hosts    []*lab.Host
	started  int
	left     []leaver
}

// leaver is a replica that was taken away.
type leaver struct {
	*lab.Replica
	removedAt time.Time
}

func (d *deployment) addReplica() (*lab.Replica, error) {
	d.started++
	r, err := lab.NewReplica(fmt.Sprintf("i-order-%d", d.started), "orders", "salto", slots, queue, work)
	if err != nil {
		return nil, err
	}
	go r.Serve()
	d.platform.Register(r, "ready")
	return r, nil
}

func (d *deployment) configure() {
	d.platform.Configure([]lab.Route{{
		Name: "r-orders", Host: "orders.example", Prefix: "/order/", Type: "unsafe", Service: "orders", TimeoutMS: 8000, TargetMS: 800, MaxAttempts: 2,
	}}, 100)
}

// round adds a replica, kills hosts and takes the replica away. The replica never reports
// that it drains: its entry is removed, and it goes on serving for a while.
func (d *deployment) round() error {
	begin := time.Now()
	r, err := d.addReplica()
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	d.configure()
	time.Sleep(newsBefore)
	var killed []*lab.Host
	if lab.Trouble() {
		killed = d.kill()
	}
	time.Sleep(leavesAfter)
	d.platform.Remove(r)
	removedAt := time.Now()
	d.record.Line("the entry of %s is removed", r.ID)
	d.left = append(d.left, leaver{r, removedAt})
	time.Sleep(restartAfter - leavesAfter)
	for _, h := range killed {
		if err := h.Start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(removedAt.Add(servesOn)))
	r.End()
	d.record.Line("%s ends", r.ID)
	time.Sleep(time.Until(begin.Add(roundTime)))
	return nil
}

// kill kills the seeds, the host that reads the store, and others up to the number.
func (d *deployment) kill() []*lab.Host {
	reader := d.hosts[0]
	for _, h := range d.hosts {
		if h.LastStoreRead().After(reader.LastStoreRead()) {
			reader = h
		}
	}
	chosen := append([]*lab.Host(nil), d.hosts[:lab.SeedCount]...)
	for _, h := range append([]*lab.Host{reader}, d.hosts[lab.SeedCount:]...) {
		if len(chosen) < victims && !contains(chosen, h) {
			chosen = append(chosen, h)
		}
	}
	var wait sync.WaitGroup
	for _, h := range chosen {
		d.record.Line("%s is killed", h.Name)
		wait.Go(h.Kill)
	}
	wait.Wait()
	return chosen
}

func contains(hosts []*lab.Host, h *lab.Host) bool {
	for _, other := range hosts {
		if other == h {
			return true
		}
	}
	return false
}

// callers send orders to random hosts, at random times.
type callers struct {
	hosts     []*lab.Host
	requester *lab.Requester
	stop      chan struct{}
	running   sync.WaitGroup
	mu        sync.Mutex
	answers   map[string]lab.Answer
}

func (c *callers) send() {
	for n, next := 0, time.Now(); ; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-c.stop:
			return
		case <-time.After(time.Until(next)):
		}
		c.running.Go(func() {
			id := fmt.Sprintf("%06d", n)
			a := c.requester.Post(c.hosts[rand.IntN(len(c.hosts))], "orders.example", "/order/new", id, "order-"+id, timeLimit)
			c.mu.Lock()
			c.answers[id] = a
			c.mu.Unlock()
		})
	}
}

// check counts the requests that hosts in touch sent to a replica later than the drain
// time after its entry was removed, and those of them that were lost with the replica.
func check(record *lab.Record, d *deployment, c *callers) int {
	byName := map[string]*lab.Host{}
	for _, h := range d.hosts {
		byName[h.Name] = h
	}
	for id, a := range c.answers {
		record.Line("%s was sent to %s at %s, answered %d after %v", id, a.Host, a.SentAt.Format(time.StampMilli), a.Status, a.EndedAt.Sub(a.SentAt).Round(time.Millisecond))
	}
	late, lost := 0, 0
	for _, r := range d.left {
		ofReplica := 0
		for _, run := range r.Runs() {
			after := run.At.Sub(r.removedAt)
			record.Line("%s reaches %s %v after its removal from %s; ran: %t, completed: %t", run.Request, r.ID, after.Round(time.Millisecond), run.Via, run.Ran, run.Completed)
			if after <= lab.DrainTime || !byName[run.Via].InTouch(c.answers[run.Request].SentAt) || !byName[run.Via].InTouch(run.At) {
				continue
			}
			ofReplica++
			if run.Ran && !run.Completed {
				lost++
				record.Say("lost with %s: %s, answered %d", r.ID, run.Request, c.answers[run.Request].Status)
			}
		}
		late += ofReplica
		record.Say("%s: %d requests later than %v after its removal", r.ID, ofReplica, lab.DrainTime)
	}
	record.Say("DRAIN: %d requests reached replicas too late, sent by hosts in touch; %d of them were lost with the replica", late, lost)
	if late > 0 {
		return lab.Broken
	}
	return lab.Held
}
