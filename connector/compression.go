package connector

// CompressFrom is the message length in bytes from which services compress:
// below it the CPU time of the compressor outweighs the bytes saved.
const CompressFrom = 4 << 10
