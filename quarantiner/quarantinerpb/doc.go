// Package quarantinerpb holds the messages of package quarantiner, generated from quarantiner.proto.
package quarantinerpb
