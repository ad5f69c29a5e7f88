// Package testcrowd sends HTTP request bodies as clients do that don't behave, and measures
// what a process holds for them. It is for tests.
//
// Each function that sends writes a request, whose head it gets up to its own headers, and
// leaves the connection open. client is the number of the client in its crowd, by which they
// differ. An error means that the server refused the client, as it may.
package testcrowd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
)

// SendLarge sends a body of maxBytes with its length, whole or in pieces. Three of four clients
// stop a byte short of its end.
func SendLarge(c net.Conn, head string, maxBytes, client int) error {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, maxBytes); err != nil {
		return err
	}
	body := spaces(maxBytes)
	if client%4 > 0 {
		body = body[:len(body)-1]
	}
	if client%2 == 0 {
		_, err := c.Write(body)
		return err
	}
	return sendPieces(c, body, len(body)/64, nil)
}

// SendChunked sends a body of maxBytes in large and then in very small chunks. Three of four
// clients stop before the last chunk.
func SendChunked(c net.Conn, head string, maxBytes, client int) error {
	if _, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunk := func(piece []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece) }
	small := spaces(maxBytes / 32)
	large := spaces(maxBytes - len(small))
	if err := sendPieces(c, large, len(large)/16, chunk); err != nil {
		return err
	}
	tail := bytes.Repeat(chunk([]byte{' '}), len(small))
	if client%4 == 0 {
		tail = append(tail, "0\r\n\r\n"...)
	}
	_, err := c.Write(tail)
	return err
}

// SendOversized begins a body of 1 GiB, with its length or in a chunk, and sends three
// quarters of maxBytes or half as much again.
func SendOversized(c net.Conn, head string, maxBytes, client int) error {
	framing, size := "Content-Length: 1073741824\r\n\r\n", maxBytes*3/4
	if client%2 == 0 {
		framing = "Transfer-Encoding: chunked\r\n\r\n40000000\r\n"
	}
	if client%4 > 1 {
		size = maxBytes * 3 / 2
	}
	if _, err := io.WriteString(c, head+framing); err != nil {
		return err
	}
	return sendPieces(c, spaces(size), size/8, nil)
}

// SendPipelined sends as many requests with bodies of a size as there are heads, without
// reading. Three of four clients stop a byte short of the end of the last one.
func SendPipelined(c net.Conn, heads []string, size, client int) error {
	body := spaces(size)
	for i, head := range heads {
		if client%4 > 0 && i == len(heads)-1 {
			body = body[:size-1]
		}
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, size); err != nil {
			return err
		}
		if _, err := c.Write(body); err != nil {
			return err
		}
	}
	return nil
}

func spaces(n int) []byte { return bytes.Repeat([]byte{' '}, n) }

// sendPieces writes a body in pieces, each changed by encode unless that is nil.
func sendPieces(c net.Conn, body []byte, size int, encode func([]byte) []byte) error {
	for piece := range slices.Chunk(body, size) {
		if encode != nil {
			piece = encode(piece)
		}
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

var errEnded = errors.New("the process has ended")

// PeakMemory returns the largest resident memory of a process so far, in bytes.
func PeakMemory(pid int) (int64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kB, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kB << 10, err
		}
	}
	return 0, errEnded
}

// OpenDescriptors returns the number of open descriptors of a process.
func OpenDescriptors(pid int) (int, error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(open), err
}
