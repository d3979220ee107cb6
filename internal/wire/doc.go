// Package wire holds the generated messages and calls between waxwingcart's
// own processes. The source is proto/replica.proto.
package wire
