package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	core "waxwingcart/internal/core/intake"
)

const (
	// firstBytes is the first size of a body's buffer. A declared length reserves no more.
	firstBytes = 4 << 10
	// smallFactor is by how much a buffer below smallBytes grows at once, so that usual
	// bodies are copied once or twice. Larger ones double up to doubleBytes, and grow by
	// half after that.
	smallFactor = 5
	smallBytes  = 64 << 10
	doubleBytes = 256 << 10
	// retryAfter is when a request that gave way may be sent again.
	retryAfter = time.Second
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("the body is too long")

// ReadAll reads a body of at most limit bytes, whose memory it charges to the share
// before it reads. The declared length is negative if it is not known.
func (s *Share) ReadAll(body io.Reader, declared, limit int64) ([]byte, error) {
	data, err := s.readAll(body, declared, limit)
	if err != nil {
		// The memory is needed before the refusal has been written.
		s.release()
	}
	return data, err
}

func (s *Share) readAll(body io.Reader, declared, limit int64) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLong
	}
	if declared == 0 {
		return nil, s.Finish()
	}
	// One byte more than the body may have shows its end, or that it is too long.
	most := limit + 1
	if declared > 0 {
		most = declared + 1
	}
	size := min(firstBytes, most)
	if err := s.Charge(size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	end := func() {}
	defer func() { end() }()
	if declared > core.BaseBuffer {
		end = s.raise()
	}
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		s.Progress(n)
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return data, s.Finish()
		case err != nil:
			return nil, s.readError(err)
		}
		if len(data) == cap(data) {
			if len(data) == firstBytes && declared < 0 {
				end = s.raise()
			}
			if data, err = s.grow(data, most); err != nil {
				return nil, err
			}
		}
	}
}

// raise gives the request's connection a larger receive buffer for a long body. The function that it returns is called
// once that has been read.
func (s *Share) raise() (end func()) {
	if s == nil {
		return func() {}
	}
	return s.conn.raise()
}

// readError returns the error of a read, or why it was interrupted.
func (s *Share) readError(err error) error {
	if s != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		if cause := s.err(); cause != nil {
			return cause
		}
	}
	return err
}

// grow returns a larger buffer. Both are held while the bytes are copied.
func (s *Share) grow(data []byte, most int64) ([]byte, error) {
	old := int64(cap(data))
	size := old * 2
	switch {
	case old < smallBytes:
		size = old * smallFactor
	case old >= doubleBytes:
		size = old + old/2
	}
	size = min(size, most)
	if err := s.Charge(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, s.Charge(-old)
}

// Buffered returns a handler that reads the bodies of requests within the budget and a
// limit in bytes before next is called, and holds the answers while they are written. A body may take as long as
// timeout.
func Buffered(budget *Budget, limit int64, timeout time.Duration, next http.Handler) http.Handler {
	lengths := &answerLengths{}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		controller := http.NewResponseController(w)
		host, _, _ := net.SplitHostPort(req.RemoteAddr)
		share := budget.Open(host, w, req)
		defer share.Close()
		err := share.bufferBody(controller, req, limit, timeout)
		if err == nil {
			err = share.chargeRunning(lengths.expected(req.URL.Path))
		}
		if err != nil {
			status := refuse(w, controller, err)
			if budget != nil {
				budget.logger.Warn().Str("step", "intake").Str("call", fmt.Sprintf("%.100s", req.URL.Path)).Str("peer", req.RemoteAddr).
					Int("status", status).Int64("declared", req.ContentLength).Err(err).Msg("a call was refused; nothing ran")
			}
			return
		}
		if share == nil {
			next.ServeHTTP(w, req)
			return
		}
		answer := &heldAnswer{ResponseWriter: w, share: share, account: share.Answer()}
		next.ServeHTTP(answer, req.WithContext(context.WithValue(req.Context(), answerKey{}, answer)))
		answer.send()
		lengths.note(req.URL.Path, answer)
	})
}

// bufferBody replaces the body of a request by one that was read.
func (s *Share) bufferBody(controller *http.ResponseController, req *http.Request, limit int64, timeout time.Duration) error {
	if req.ContentLength == 0 {
		return s.Finish()
	}
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	body, err := s.ReadAll(req.Body, req.ContentLength, limit)
	if err == nil {
		// The handler copies the body.
		err = s.chargeRunning(int64(len(body)))
	}
	if err != nil {
		return err
	}
	_ = controller.SetReadDeadline(time.Time{})
	req.Body = &buffered{data: body}
	req.ContentLength = int64(len(body))
	return nil
}

// chargeRunning charges bytes to a share that no longer gives way.
func (s *Share) chargeRunning(bytes int64) error {
	if s == nil {
		return nil
	}
	if !s.budget.take(bytes, s) {
		return ErrFull
	}
	s.bytes.Add(bytes)
	return nil
}

// refuse answers a request whose body was not read, and returns the status. Nothing of
// it ran.
func refuse(w http.ResponseWriter, controller *http.ResponseController, err error) int {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, ErrTooLong):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrStalled) || errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, ErrFull):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	w.Header().Set("Connection", "close")
	// Keeps the server from waiting for the rest of the body.
	_ = controller.SetReadDeadline(time.Now())
	http.Error(w, err.Error(), status)
	return status
}

// buffered is a body that was read.
type buffered struct{ data []byte }

// Read returns the next bytes.
func (b *buffered) Read(into []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(into, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close does nothing.
func (b *buffered) Close() error { return nil }
