package journaler

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// diskFolder is a Folder in a file system.
type diskFolder struct {
	path string
	lock *os.File
}

// OpenFolder opens the folder at a path and creates it if it does not exist. Until it is closed,
// opening it again fails, also for other processes.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // the error of the lock is the relevant one
		return nil, fmt.Errorf("folder %s is in use by another process: %w", path, err)
	}
	dk := &diskFolder{path: path, lock: lock}
	if err := syncPath(filepath.Dir(path)); err != nil {
		_ = dk.Close()
		return nil, err
	}
	return dk, nil
}

func (dk *diskFolder) filePath(name string) string { return filepath.Join(dk.path, name) }

func (dk *diskFolder) Names() ([]string, error) {
	ents, err := os.ReadDir(dk.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, en := range ents {
		if !en.IsDir() && en.Name() != lockName {
			names = append(names, en.Name())
		}
	}
	return names, nil
}

func (dk *diskFolder) Read(name string) ([]byte, error) { return os.ReadFile(dk.filePath(name)) }

func (dk *diskFolder) Create(name string) (File, error) {
	return os.OpenFile(dk.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (dk *diskFolder) Append(name string) (File, error) {
	return os.OpenFile(dk.filePath(name), os.O_APPEND|os.O_WRONLY, fileMode)
}

func (dk *diskFolder) Truncate(name string, size int64) error {
	fl, err := os.OpenFile(dk.filePath(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if err := fl.Truncate(size); err != nil {
		_ = fl.Close() // the first error is the relevant one
		return err
	}
	return syncClose(fl)
}

func (dk *diskFolder) Rename(from, to string) error {
	return os.Rename(dk.filePath(from), dk.filePath(to))
}

func (dk *diskFolder) Remove(name string) error { return os.Remove(dk.filePath(name)) }

func (dk *diskFolder) Sync() error { return syncPath(dk.path) }

func (dk *diskFolder) Close() error { return dk.lock.Close() }

func syncPath(path string) error {
	fl, err := os.Open(path)
	if err != nil {
		return err
	}
	return syncClose(fl)
}

func syncClose(fl File) error {
	if err := fl.Sync(); err != nil {
		_ = fl.Close() // the first error is the relevant one
		return err
	}
	return fl.Close()
}
