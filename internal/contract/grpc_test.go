package contract_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "sassafrasreach/api/peer/v1"
)

// refusingServer is a raw HTTP/2 server that reads each request completely, as a
// server that runs requests does, and then refuses its stream.
type refusingServer struct {
	received atomic.Int64
	refuse   func(f *http2.Framer, stream uint32) error
}

func (r *refusingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	f := http2.NewFramer(c, c)
	if f.WriteSettings() != nil {
		return
	}
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				err = f.WriteSettingsAck()
			}
		case *http2.DataFrame:
			if frame.StreamEnded() {
				r.received.Add(1)
				err = r.refuse(f, frame.StreamID)
			}
		}
		if err != nil {
			return
		}
	}
}

// TestTransparentRetry shows that grpc-go retries a request when its stream is
// refused or is not covered by the last stream ID of a GOAWAY, even with retries
// disabled. The receiver of a forwarded request must therefore detect duplicates by
// the request's ID.
func TestTransparentRetry(t *testing.T) {
	cases := []struct {
		name   string
		refuse func(f *http2.Framer, stream uint32) error
		want   int64
	}{
		{"internal error", func(f *http2.Framer, stream uint32) error {
			return f.WriteRSTStream(stream, http2.ErrCodeInternal)
		}, 1},
		{"refused stream", func(f *http2.Framer, stream uint32) error {
			return f.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
		}, 2},
		{"goaway", func(f *http2.Framer, _ uint32) error {
			if err := f.WriteGoAway(0, http2.ErrCodeNo, nil); err != nil {
				return err
			}
			return io.EOF
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			r := &refusingServer{refuse: c.refuse}
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go r.serve(conn)
				}
			}()
			conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithDisableRetry(),
				grpc.WithTransportCredentials(insecure.NewCredentials()))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err = peerv1.NewPeerServiceClient(conn).Announce(ctx, &peerv1.AnnounceRequest{})
			is.True(err != nil)
			is.Equal(r.received.Load(), c.want)
		})
	}
}
