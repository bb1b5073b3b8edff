// Package serverpb holds the messages that package server distributes as rumors.
package serverpb
