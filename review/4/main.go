//go:build review

// Command 4 is the script of case 4: a quarter of the replicas are taken away at one
// moment, and the hosts go on sending orders to them until they end.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/review/lab"
)

const (
	hostCount    = 5
	replicaCount = 12
	// leaving is the number of replicas that are taken away, 0.25 of them.
	leaving      = 3
	slots, queue = 6, 12
	work         = 150 * time.Millisecond
	perSecond    = 100
	rounds       = 1
	settleTime   = 8 * time.Second
	// newsBefore is the time from a change of the configuration to the removals.
	newsBefore = 40 * time.Millisecond
	// oneAtATime is the time between removals if the disturbance is left out.
	oneAtATime = time.Second
	// servesOn is how long a replica that leaves serves after the store has accepted the
	// removal of its entry: the drain time and a little longer.
	servesOn  = lab.DrainTime + 2*time.Second
	timeLimit = 8 * time.Second
)

func main() { lab.Main(run) }

func run(dir string, record *lab.Record) (int, error) {
	platform, err := lab.StartPlatform()
	if err != nil {
		return 0, err
	}
	d := &deployment{platform: platform, record: record}
	if err := d.fill(); err != nil {
		return 0, err
	}
	d.configure()
	zones := make([]string, hostCount)
	for i := range zones {
		zones[i] = "salto"
	}
	hosts, err := lab.NewHosts(dir, platform.Address, zones)
	if err != nil {
		return 0, err
	}
	for _, h := range hosts {
		if err := h.Start(); err != nil {
			return 0, err
		}
	}
	if err := lab.AwaitReady(hosts, 10*time.Second); err != nil {
		return 0, err
	}
	c := &callers{hosts: hosts, requester: lab.NewRequester(true), stop: make(chan struct{}), answers: map[string]lab.Answer{}}
	go c.send()
	for range rounds {
		time.Sleep(settleTime)
		d.configure()
		time.Sleep(newsBefore)
		d.takeAway()
		if err := d.fill(); err != nil {
			return 0, err
		}
	}
	close(c.stop)
	c.running.Wait()
	return check(record, d, c), nil
}

// deployment is the platform and the replicas of a service for orders.
type deployment struct {
	platform *lab.Platform
	record   *lab.Record
	started  int
	present  []*lab.Replica
	left     []leaver
}

// leaver is a replica that was taken away.
type leaver struct {
	*lab.Replica
	removedAt time.Time
}

func (d *deployment) configure() {
	d.platform.Configure([]lab.Route{{
		Name: "r-orders", Host: "orders.example", Prefix: "/order/", Type: "unsafe", Service: "orders", TimeoutMS: 8000, TargetMS: 800, MaxAttempts: 2,
	}}, 100)
}

// fill adds replicas up to replicaCount.
func (d *deployment) fill() error {
	for len(d.present) < replicaCount {
		d.started++
		r, err := lab.NewReplica(fmt.Sprintf("i-order-%02d", d.started), "orders", "salto", slots, queue, work)
		if err != nil {
			return err
		}
		go r.Serve()
		d.platform.Register(r, "ready")
		d.present = append(d.present, r)
	}
	return nil
}

// takeAway takes replicas away that never report that they drain: their entries are
// removed, at one moment, and they go on serving for a while.
func (d *deployment) takeAway() {
	leavers := d.present[:leaving]
	d.present = append([]*lab.Replica(nil), d.present[leaving:]...)
	var wait sync.WaitGroup
	for i, r := range leavers {
		if i > 0 && !lab.Trouble() {
			time.Sleep(oneAtATime)
		}
		d.platform.Remove(r)
		removedAt := time.Now()
		d.left = append(d.left, leaver{r, removedAt})
		d.record.Line("the entry of %s is removed", r.ID)
		wait.Go(func() {
			time.Sleep(time.Until(removedAt.Add(servesOn)))
			r.End()
			d.record.Line("%s ends", r.ID)
		})
	}
	wait.Wait()
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

// check counts the requests that were sent to a replica later than the drain time after
// its entry was removed, and those of them that were lost with the replica.
func check(record *lab.Record, d *deployment, c *callers) int {
	for id, a := range c.answers {
		record.Line("%s was sent to %s at %s, answered %d after %v", id, a.Host, a.SentAt.Format(time.StampMilli), a.Status, a.EndedAt.Sub(a.SentAt).Round(time.Millisecond))
	}
	late, lost := 0, 0
	hosts := map[string]int{}
	for _, r := range d.left {
		ofReplica := 0
		for _, run := range r.Runs() {
			after := run.At.Sub(r.removedAt)
			record.Line("%s reaches %s %v after its removal from %s; ran: %t, completed: %t", run.Request, r.ID, after.Round(time.Millisecond), run.Via, run.Ran, run.Completed)
			if after <= lab.DrainTime {
				continue
			}
			ofReplica++
			hosts[run.Via]++
			if run.Ran && !run.Completed {
				lost++
				record.Say("lost with %s: %s, answered %d", r.ID, run.Request, c.answers[run.Request].Status)
			}
		}
		late += ofReplica
		record.Say("%s: %d requests later than %v after its removal", r.ID, ofReplica, lab.DrainTime)
	}
	record.Say("DRAIN: %d requests reached replicas too late, by host %v; %d of them were lost with the replica", late, hosts, lost)
	if late > 0 {
		return lab.Broken
	}
	return lab.Held
}
