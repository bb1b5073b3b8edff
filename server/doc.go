// Package server assembles one process of the fleet: it builds the components from the settings, opens the ports,
// passes the table and the fleet's membership to the components that need them, and stops everything in order.
package server
