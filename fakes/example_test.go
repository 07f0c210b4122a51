package fakes_test

import (
	"context"
	"fmt"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

func ExampleEngine() {
	e := fakes.NewEngine(fakes.WithColdStart(1, 4), fakes.WithModel("m", 1), fakes.WithFencing(true))
	if err := e.Start(context.Background(), ""); err != nil {
		panic(err)
	}
	defer e.Close()
	e.Hold()  // calls to e.Addr() now produce no tokens
	e.Step(3) // three tokens for each running call
	e.Release()
	fmt.Println(e.Load().Cold, e.Record().Begun)
	// Output: true 0
}

func ExampleService() {
	s := fakes.NewService(wire.KindPlain, fakes.WithSlots(4, 0))
	if err := s.Start(context.Background(), ""); err != nil {
		panic(err)
	}
	defer s.Close()
	fmt.Println(s.Apply(fakes.Fault{Mute: new(1.0)}), s.Record().Effects["key"])
	// Output: <nil> 0
}

func ExampleConfig() {
	c := fakes.NewConfig(fakes.WithRateLimit(2000))
	if err := c.Start(context.Background(), ""); err != nil {
		panic(err)
	}
	defer c.Close()
	fmt.Println(c.Publish(wire.Ticket{Number: 12, Objects: []wire.Object{
		{Kind: wire.ObjectKindTeam, Name: "folders", Team: &wire.Team{Weight: 2}},
	}}))
	c.ServeStale() // later tickets are not served until Fresh
	// Output: 1 <nil>
}

func ExampleHosts() {
	h := fakes.NewHosts()
	if err := h.Start(context.Background(), ""); err != nil {
		panic(err)
	}
	defer h.Close()
	h.Set(fakes.Host{Name: "r1", Role: wire.RoleRouter, Address: "127.0.0.1:7000", Centre: "c1"})
	h.Leave("r1")
	// Output:
}

func ExampleWeights() {
	w := fakes.NewWeights(fakes.WithRateLimit(1))
	if err := w.Start(context.Background(), ""); err != nil {
		panic(err)
	}
	defer w.Close()
	e := fakes.NewEngine(fakes.WithWeightStore(w.Addr()))
	fmt.Println(e.Record().Orders, w.Record().Calls)
	// Output: [] 0
}
