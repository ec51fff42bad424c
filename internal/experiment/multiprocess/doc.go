// Package multiprocess holds the tests of many processes of the program that fail together: each starts real routers with stand-ins and
// clients, brings faults between them, and has its verdict from the stand-ins', the clients' and the relays' records.
package multiprocess
