package answers

import "io"

// limitedBody is a body that fails beyond a number of bytes.
type limitedBody struct {
	io.ReadCloser
	limit, read int64
	share       *Share
	report      func(error)
}

// LimitBody returns a body that fails with an *Error once it exceeds limit bytes. The
// share, which may be nil, holds twice the bytes read until the body is closed, since
// the reader's buffer grows by copying. Report, which may be nil, is called with the
// *Error.
func LimitBody(body io.ReadCloser, limit int64, share *Share, report func(error)) io.ReadCloser {
	return &limitedBody{ReadCloser: body, limit: limit, share: share, report: report}
}

// fail reports and returns an error.
func (b *limitedBody) fail(err error) error {
	if b.report != nil {
		b.report(err)
		b.report = nil
	}
	return err
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	if b.read > b.limit {
		return 0, TooLong(KindBody, b.limit)
	}
	if left := b.limit - b.read; int64(len(data)) > left+1 {
		data = data[:left+1]
	}
	n, err := b.ReadCloser.Read(data)
	if b.read += int64(n); b.read > b.limit {
		return n - 1, b.fail(TooLong(KindBody, b.limit))
	}
	if b.share != nil && b.read > firstBytes {
		if err := b.share.Set(2 * b.read); err != nil {
			return 0, b.fail(err)
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	if b.share != nil {
		b.share.Close()
	}
	return b.ReadCloser.Close()
}
