// Package multiprocess contains tests of failures that hit many router processes together. Each test starts real
// routers with emulated cache servers and clients, injects faults between them, and checks the records of the
// emulated servers, the clients and the relays.
package multiprocess
