// Package journalerpb holds the messages stored in the files of a journal, generated from journaler.proto.
package journalerpb
