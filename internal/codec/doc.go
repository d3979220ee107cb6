// Package codec converts the core's types to and from their encoding on the wire
// and on disk. The encoding is defined in proto/.
package codec
