// Command policy runs the policy measurements and prints their results.
package main

import (
	"flag"
	"os"

	"hornbeamcove.example/bench/policy"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all random choices")
	flag.Parse()
	policy.New(os.Stdout, *seed).All()
}
