// Package wire holds the messages that processes exchange and the objects of
// change tickets. Types are generated from ../schema/wire.json; the methods that
// validate decoded values are written by hand.
package wire

//go:generate sh ../schema/generate.sh wire wire_gen.go
//go:generate msgp -file wire_gen.go -o msgp_gen.go -tests=false -io=false
