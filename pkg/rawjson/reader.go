package rawjson

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Reader reads the objects of a stream one after the other.
type Reader struct {
	src   *bufio.Reader
	limit int
}

// NewReader returns a Reader of the objects in r, which have at most limit bytes each with the
// blanks before them.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{src: bufio.NewReader(r), limit: limit}
}

// Next returns the text of the next object. After an error the rest of the stream can't be read.
func (r *Reader) Next() (object json.RawMessage, err error) {
	var open nesting
	for n := 0; n < r.limit; n++ {
		c, err := r.src.ReadByte()
		switch {
		case err == io.EOF && len(object) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(object) == 0 && isBlank(c):
			continue
		case len(object) == 0 && c != '{':
			return nil, errors.Errorf("found %q, expected an object", c)
		}
		object = append(object, c)
		done, err := open.next(c)
		if err != nil || done {
			return object, err
		}
	}
	return nil, errors.Errorf("found an object of more than %d bytes", r.limit)
}
