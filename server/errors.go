package server

import "github.com/zeebo/errs/v2"

// Tags of the errors that prevent a start or end the process, for use with errors.Is.
const (
	TagData errs.Tag = "data_folder" // the files of the control role
	TagLog  errs.Tag = "table_log"   // the replicated log of the table
	TagPort errs.Tag = "port"        // a listening address
	TagTLS  errs.Tag = "tls"         // certificates and keys
)
