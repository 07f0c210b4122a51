//go:build ignore

// This program writes the settings reference to the file named by its argument.
package main

import (
	"log"
	"os"

	"hornbeamcove.example/core/conf"
)

func main() {
	f, err := os.Create(os.Args[1])
	if err != nil {
		log.Fatal(err)
	}
	if err = conf.Reference(f); err != nil {
		log.Fatal(err)
	}
	if err = f.Close(); err != nil {
		log.Fatal(err)
	}
}
