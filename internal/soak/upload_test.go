package soak

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	uploadPart = 64 << 10 // bytes that a client sends at a time
	minUpload  = 0.125    // smallest body, relative to the largest
)

// uploadShare returns the size of the n-th body, relative to the largest.
func uploadShare(n uint64) float64 {
	const sizes = 8
	return max(minUpload, float64(1+n%sizes)/sizes)
}

// uploadPause returns the pause after each part of a body.
func (k requestKind) uploadPause() time.Duration {
	return k.uploadTime * uploadPart / time.Duration(k.uploadBytes)
}

// upload is a long body that is sent in parts.
type upload struct {
	text  string // what is left
	pause time.Duration
	end   atomic.Int64 // when the last byte was read, in Unix ns; 0: not yet
}

func (u *upload) Read(p []byte) (n int, err error) {
	if u.text == "" {
		return 0, io.EOF
	}
	time.Sleep(u.pause)
	n = copy(p[:min(len(p), uploadPart)], u.text)
	if u.text = u.text[n:]; u.text == "" {
		u.end.Store(time.Now().UnixNano())
	}
	return n, nil
}

// sentAt returns when the last byte was read for sending, or the zero time.
func (u *upload) sentAt() time.Time {
	if end := u.end.Load(); end != 0 {
		return time.Unix(0, end)
	}
	return time.Time{}
}

func (*upload) Close() error { return nil }
