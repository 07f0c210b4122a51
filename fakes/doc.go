// Package fakes holds stand-ins for the systems around hornbeamcove: model engine,
// plain and auxiliary services, configuration service, host list and weight store.
// Each one listens on a TCP address, implements the published protocol of its
// original, can be made to fail on demand, and keeps a record of what it executed.
//
// Every stand-in answers GET /record with its record and POST /fault with a Fault
// in JSON. Both paths stay usable while the rest of a stand-in is down, but not
// after a crash, which closes the listener.
package fakes
