// Package allocatorpb holds the generated messages and the connect service of package allocator.
package allocatorpb
