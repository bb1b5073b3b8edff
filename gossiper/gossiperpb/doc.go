// Package gossiperpb holds the messages that the gossipers of two instances exchange.
package gossiperpb
