package intake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// firstBlock and maxBlock are the sizes of the first and of the largest block in bytes. A block doubles the one before it.
	firstBlock int64 = 4 << 10
	maxBlock   int64 = 64 << 10
)

// ErrTooLong means that a body is longer than allowed.
var ErrTooLong = errors.New("the body is longer than allowed")

// ReadBody reads a request's body to its end, see ReadAll. While it does, the connection may be evicted in favour of others.
func ReadBody(account *Account, r *http.Request, limit int64) ([]byte, error) {
	if err := account.setStage(inBody); err != nil {
		return nil, err
	}
	body, err := ReadAll(account, r.Body, r.ContentLength, limit)
	evicted := account.Begin()
	switch {
	case evicted != nil:
		account.refuse()
		return nil, evicted
	case account.isTooLarge():
		account.refuse()
		return nil, ErrHeadTooLarge // net/http has another error for a trailer whose end it does not find
	case err != nil:
		account.refuse()
		return nil, err
	}
	account.setWholeBody()
	return body, nil
}

// ReadAll reads a body to its end into memory that the account holds. length is the one that is announced, or not positive without one.
// It returns the bytes read so far with any error, among them ErrTooLong for more than limit bytes, ErrFull and ErrEvicted.
func ReadAll(account *Account, r io.Reader, length, limit int64) ([]byte, error) {
	var blocks [][]byte
	var total, held int64
	for {
		size := min(nextBlock(len(blocks), length, total), limit+1-total) // one byte more shows that it is too long
		if err := account.Grow(size); err != nil {
			return bytes.Join(blocks, nil), err
		}
		held += size
		block, err := fill(make([]byte, 0, size), r)
		blocks, total = append(blocks, block), total+int64(len(block))
		switch {
		case total > limit:
			return bytes.Join(blocks, nil), ErrTooLong
		case errors.Is(err, io.EOF):
			return joinHeld(account, blocks, total, held)
		case err != nil:
			return bytes.Join(blocks, nil), err
		}
	}
}

// nextBlock returns the size of the block with the index, of a body of which read bytes have been read.
func nextBlock(index int, length, read int64) int64 {
	if left := length - read; length > 0 && left <= maxBlock {
		return max(left, 1) // the end may come after the last byte
	}
	return min(firstBlock<<min(index, 16), maxBlock)
}

// fill reads until the block's capacity is used or r fails.
func fill(block []byte, r io.Reader) ([]byte, error) {
	for len(block) < cap(block) {
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err != nil {
			return block, err
		}
	}
	return block, nil
}

// joinHeld returns the blocks of a whole body, for which the account holds held bytes, as one slice.
func joinHeld(account *Account, blocks [][]byte, total, held int64) ([]byte, error) {
	if int64(len(blocks[0])) == total {
		return blocks[0], nil
	}
	if err := account.Grow(total); err != nil {
		return nil, err
	}
	body := bytes.Join(blocks, nil)
	account.Shrink(held)
	return body, nil
}
