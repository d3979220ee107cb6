package answers

import "strings"

// HeadError returns the error of a call without an answer: an *Error if the transport
// refused a head longer than MaxHeadBytes, for which it has no type of its own.
func HeadError(err error) error {
	if err != nil && strings.Contains(err.Error(), "server response headers exceeded") {
		return TooLong(KindHead, MaxHeadBytes)
	}
	return err
}
