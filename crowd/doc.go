// Package crowd starts the system's own processes on loopback addresses and plays crowds of clients outside of the limits against them.
//
// Each test starts one process with the roles node and control, or that and a second node, and an upstream in the test process, connects
// one crowd of some hundred clients, and checks three things: the process lives, its memory and open descriptors stay under a bound, and an
// ordinary request is answered afterwards. Memory is what is resident and what the kernel holds for the process's sockets: received and not
// read, or written and not acknowledged. The tests check no times and no shares of served requests, and run one at a time.
//
// The tests of restart_test.go are not of crowds: they restart half of a fleet, with the same build or another one, and check that the fleet
// goes on serving and that a rate holds.
package crowd
