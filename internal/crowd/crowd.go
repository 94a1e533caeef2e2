// Package crowd plays clients that do not keep to a server's limits, many at a time, and measures the server's process. It is for tests.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
)

const (
	// Size is the number of clients of a crowd.
	Size = 300
	// Waves is the number of crowds in a row.
	Waves = 3
	// MemoryMB and Descriptors are what the process that serves the crowd may use. The bodies of a crowd exceed the memory, its
	// connections the descriptors.
	MemoryMB    = 96
	Descriptors = 256
	// BodyBytes is the longest body that is allowed.
	BodyBytes = 1 << 20
	// Long is the last part of the path of requests with an answer of AnswerBytes, which no buffer of the system's holds.
	Long        = "long"
	AnswerBytes = 4 << 20
	// unreadBuffer is the size in bytes of the buffer for received bytes of a client that does not read.
	unreadBuffer = 4 << 10
)

// Kind is a kind of client.
type Kind struct {
	Name    string
	Header  string        // fields of the request's head that announce the body, or are the rest of a head without an end
	Payload func() []byte // what follows the head; nil if the head has no end
	// Path is the last part of the request's path. The stand-ins answer requests for Long with AnswerBytes.
	Path string
	// Unread means that the requests are whole and that the clients don't read their answers.
	Unread bool
}

// Kinds are clients that stop before the end of what they send, send more than allowed, or don't read what they asked for.
var Kinds = []Kind{
	{"large chunks", "Transfer-Encoding: chunked", func() []byte { return chunks(BodyBytes-64<<10, 64<<10) }, "x", false},
	{"small chunks", "Transfer-Encoding: chunked", func() []byte { return chunks(BodyBytes-1, 1) }, "x", false},
	{"announced body short of its end", "Content-Length: " + strconv.Itoa(BodyBytes), func() []byte { return make([]byte, BodyBytes-1) }, "x", false},
	{"announced body over the limit", "Content-Length: 1073741824", func() []byte { return make([]byte, 8*BodyBytes) }, "x", false},
	{"chunked body over the limit", "Transfer-Encoding: chunked", func() []byte { return chunks(8*BodyBytes, 64<<10) }, "x", false},
	{"head without an end", "X-Padding: " + strings.Repeat("x", 60<<10), nil, "x", false},
	{"many fields without an end", manyFields(60 << 10), nil, "x", false},
	{"answers that nobody reads", "Content-Length: 2", func() []byte { return []byte("{}") }, Long, true},
}

// chunks returns a body of the given number of bytes in chunks of size bytes each, without the chunk that ends it.
func chunks(total, size int) []byte {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return bytes.Repeat(chunk, total/size)
}

// manyFields returns short fields with different names, about n bytes in all.
func manyFields(n int) string {
	var fields []string
	for i := range n / len("1000:\r\n") {
		fields = append(fields, fmt.Sprintf("%x:", 0x1000+i))
	}
	return strings.Join(fields, "\r\n")
}

// Send opens Size connections to the address (IP:port) and sends on each what a client of the kind sends, as far as the server takes it.
// head is the request line and fields, each ended by a line break. Send returns once all clients have ended sending; their connections
// stay open until leave is called.
func (k Kind) Send(address, head string) (leave func()) {
	sent, leave := k.Start(address, head)
	<-sent
	return leave
}

// Start is Send without waiting. sent is closed once all clients have ended sending; leave also ends those that still send, for example to a
// process that is suspended.
func (k Kind) Start(address, head string) (sent <-chan struct{}, leave func()) {
	request := []byte(head + k.Header + "\r\n")
	if k.Payload != nil {
		request = append(append(request, "\r\n"...), k.Payload()...)
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	ctx, cancel := context.WithCancel(context.Background())
	open := func() net.Conn {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil {
			_ = conn.Close()
		}
		conns = append(conns, conn)
		return conn
	}
	for range Size {
		sending.Go(func() {
			conn := open()
			if conn == nil {
				return
			}
			if k.Unread {
				_ = conn.(*net.TCPConn).SetReadBuffer(unreadBuffer)
			}
			_, _ = conn.Write(request)
		})
	}
	done := make(chan struct{})
	go func() {
		sending.Wait()
		close(done)
	}()
	return done, func() {
		mu.Lock()
		cancel()
		for _, conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		<-done
	}
}

// PeakMemoryMB returns the largest resident memory of a process so far, in megabytes of 2^20 bytes. An error means that the process has
// ended.
func PeakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, fmt.Errorf("process %d has ended", pid)
	}
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	return kb >> 10, err
}

// OpenDescriptors returns the number of a process's open descriptors. An error means that the process has ended.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
