package connector

// CompressMinBytes is the message length in bytes from which services compress:
// below it the CPU time of the compressor outweighs the bytes saved.
const CompressMinBytes = 4 << 10
