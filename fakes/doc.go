// Package fakes provides stand-ins for the systems around hornbeamcove: model engine,
// plain and auxiliary services, configuration service, host list and weight store.
// Each one listens on a TCP address, implements the published protocol of the real
// system, injects faults on request, and keeps a record of the calls that it received
// and executed.
//
// Every stand-in returns its record for GET /record and applies the JSON Fault in the
// body of POST /fault. Both paths stay usable while the rest of a stand-in is down, but
// not after a crash, which closes the listener.
//
// A run is the time from Start or Restart to the next Crash, Restart or Close. It
// corresponds to one process of the real system.
package fakes
