//go:build review

// Command 2 is the script of case 2: orders, which must not be repeated, at a replica
// that is full at times, while it hands out second copies of some answers.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/review/lab"
)

const (
	hostCount    = 3
	slots, queue = 2, 1
	work         = 5 * time.Millisecond
	perSecond    = 200
	// The disturbance: garble, how "extra late", at no more than share 0.6 of the replicas
	// (one of two), x 0.04 of their answers and 5 s at a time.
	extraThousandths = 40
	troubleTime      = 5 * time.Second
	pauseTime        = 3 * time.Second
	windows          = 8
	timeLimit        = 8 * time.Second
	settleTime       = 3 * time.Second
)

func main() { lab.Main(run) }

func run(dir string, record *lab.Record) (int, error) {
	platform, err := lab.StartPlatform()
	if err != nil {
		return 0, err
	}
	var replicas []*lab.Replica
	for i, service := range []string{"orders", "billing"} {
		r, err := lab.NewReplica(fmt.Sprintf("i-server-%d", i+1), service, "salto", slots, queue, work)
		if err != nil {
			return 0, err
		}
		defer r.End()
		go r.Serve()
		replicas = append(replicas, r)
		platform.Register(r, "ready")
	}
	platform.Configure([]lab.Route{
		{Name: "r-orders", Host: "orders.example", Prefix: "/order/", Type: "unsafe", Service: "orders", TimeoutMS: 8000, TargetMS: 800, MaxAttempts: 2},
		{Name: "r-bills", Host: "orders.example", Prefix: "/bill/", Type: "unsafe", Service: "billing", TimeoutMS: 8000, TargetMS: 800, MaxAttempts: 2},
	}, 100)
	hosts, err := lab.NewHosts(dir, platform.Address, []string{"salto", "salto", "salto"}[:hostCount])
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
	c := &callers{hosts: hosts, requester: lab.NewRequester(true), stop: make(chan struct{})}
	go c.send()
	for i := range windows {
		time.Sleep(pauseTime)
		if lab.Trouble() {
			replicas[0].ExtraShare.Store(extraThousandths)
			record.Line("window %d: %s sends second copies of %d in 1000 answers", i+1, replicas[0].ID, extraThousandths)
		}
		time.Sleep(troubleTime)
		replicas[0].ExtraShare.Store(0)
	}
	close(c.stop)
	c.running.Wait()
	time.Sleep(settleTime)
	return check(record, c, replicas), nil
}

// callers sends orders to random hosts, at random times.
type callers struct {
	hosts     []*lab.Host
	requester *lab.Requester
	stop      chan struct{}
	running   sync.WaitGroup
	mu        sync.Mutex
	answers   []lab.Answer
	orders    map[string]string
}

func (c *callers) send() {
	c.orders = map[string]string{}
	for n, next := 0, time.Now(); ; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-c.stop:
			return
		case <-time.After(time.Until(next)):
			c.running.Go(func() { c.order(n) })
		}
	}
}

// order sends an order. After a promise that it has not run, it is sent once more, as a
// request of its own, to another host.
func (c *callers) order(n int) {
	body := fmt.Sprintf("order-%d", n)
	first := rand.IntN(len(c.hosts))
	for try := range 2 {
		id := fmt.Sprintf("%06d-%d", n, try)
		h := c.hosts[(first+try)%len(c.hosts)]
		a := c.requester.Post(h, "orders.example", "/order/new", id, body, timeLimit)
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.orders[id] = body
		c.mu.Unlock()
		if !promises(a.Status) {
			return
		}
		wait, err := time.ParseDuration(a.RetryIn + "s")
		if err != nil || wait > timeLimit/3 {
			return
		}
		time.Sleep(wait)
	}
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

func check(record *lab.Record, c *callers, replicas []*lab.Replica) int {
	ran := map[string][]lab.Run{}
	orderRuns := map[string]int{}
	arrivals, rejected := 0, 0
	for _, r := range replicas {
		for _, run := range r.Runs() {
			arrivals++
			if !run.Ran {
				rejected++
				record.Line("reached  %s at %s from %s: rejected, %s", run.Request, run.Replica, run.Via, run.At.Format(time.StampMicro))
				continue
			}
			record.Line("ran      %s at %s from %s: %s", run.Request, run.Replica, run.Via, run.At.Format(time.StampMicro))
			ran[run.Request] = append(ran[run.Request], run)
			orderRuns[run.Body]++
		}
	}
	statuses := map[int]int{}
	refused, twice, mixed := 0, 0, 0
	for _, a := range c.answers {
		statuses[a.Status]++
		record.Line("%s was sent to %s at %s, answered %d at %s", a.ID, a.Host, a.SentAt.Format(time.StampMicro), a.Status, a.EndedAt.Format(time.StampMicro))
		switch {
		case promises(a.Status) && len(ran[a.ID]) > 0:
			refused++
			record.Say("REFUSED: %s (%s) was answered %d by %s at %s and ran at %s, begun %s", a.ID, c.orders[a.ID], a.Status, a.Host,
				a.EndedAt.Format(time.StampMicro), ran[a.ID][0].Replica, ran[a.ID][0].At.Format(time.StampMicro))
		case a.Status == 200 && a.Body != "done "+a.ID:
			mixed++
			record.Say("MIXED: %s got %q", a.ID, a.Body)
		}
		if len(ran[a.ID]) > 1 {
			twice++
			record.Say("TWICE: %s ran %d times", a.ID, len(ran[a.ID]))
		}
	}
	doubled := 0
	for order, n := range orderRuns {
		if n > 1 {
			doubled++
			record.Say("%s ran %d times in all, once more after the promise", order, n)
		}
	}
	record.Say("sent %d, answers %v; reached replicas %d, rejected %d, second copies %d", len(c.answers), statuses, arrivals, rejected, replicas[0].Extras())
	record.Say("REFUSED %d, TWICE %d, MIXED %d; orders that ran more than once: %d", refused, twice, mixed, doubled)
	if refused+twice+mixed > 0 {
		return lab.Broken
	}
	return lab.Held
}
