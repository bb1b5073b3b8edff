package journaler

import "io"

// Folder is a flat folder of files, as a journal uses it, on disk or, in tests, in memory.
// The content of a file is durable once the file is synced, and its name once the folder is.
type Folder interface {
	// Names returns the names of the files.
	Names() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create creates a file, or empties an existing one, and opens it for writing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Truncate truncates a file to a size in bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename renames a file and replaces any file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync makes all changes of names durable.
	Sync() error
	// Close releases the folder.
	Close() error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable.
	Sync() error
}
