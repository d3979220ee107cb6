// Package codec translates between the core's types and their encoding on the
// wire and on disk. The source of the encoding is proto/.
package codec
