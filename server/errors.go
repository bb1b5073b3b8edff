package server

import (
	"errors"

	"github.com/zeebo/errs/v2"
)

// errStopping is the error of a port that was not opened as a stop had begun.
var errStopping = errors.New("the process is stopping")

// Tags of the errors that prevent a start or end the process, for use with errors.Is.
const (
	TagData errs.Tag = "data_folder" // the files of the control role
	TagLog  errs.Tag = "table_log"   // the replicated log of the table
	TagPort errs.Tag = "port"        // a listening address
	TagTLS  errs.Tag = "tls"         // certificates and keys
)
