package client_test

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/client"
)

// An order that must not run twice is submitted under a permit, which is first stored
// with the order.
func Example() {
	c, err := client.New([]string{"127.0.0.1:7401", "127.0.0.1:7411"}, client.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()

	order := api.SubmitRequest{Service: "pharmacy-ordering", Caller: "pharmacies", Body: "40 gel packs"}
	store := func(permit string) error { return saveWithOrder(permit) }
	answer, err := c.SubmitOnce(ctx, order, store)
	switch {
	case err == nil:
		fmt.Println("confirmed", answer.Outcome)
	case answer.Code.Class() == api.ClassNotRun:
		fmt.Println("nothing ran; the order may be placed again with a new permit")
	case answer.Code.Class() == api.ClassUnknown:
		fmt.Println("it may have run; submit the stored permit again, or ask the endpoint's owner")
	default:
		fmt.Println(answer.Code, answer.Reason)
	}
}

// saveWithOrder stands for a durable write to the caller's database.
func saveWithOrder(string) error { return nil }
